package hostile

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/fleet"
)

const (
	// stopCallers is the number of callers with kept connections while a process is told to stop, each of which sends at its own
	// moment of the grace.
	stopCallers = 60
	// siteGrace is the grace of a site's gateway.
	siteGrace = 3 * time.Second
)

// lateRequest is what callers send during the grace.
type lateRequest struct {
	method, host, fields, body string
	// bodyAfter is the time between the head and the body.
	bodyAfter time.Duration
	// requests is the number of requests that are sent at once, or 0 for one.
	requests int
	// work is the service time at the target, pad the size of its answers.
	work time.Duration
	pad  int
}

// lateResult is what became of one request: its status, or 0 if it got no whole answer.
type lateResult struct {
	id     string
	status int
}

// send sends the requests on a connection, and returns what became of them.
func (l lateRequest) send(conn net.Conn, in *bufio.Reader, caller int) (out []lateResult) {
	method := cmp.Or(l.method, http.MethodPost)
	for i := range max(l.requests, 1) {
		id := fmt.Sprintf("late-%d-%d", caller, i)
		out = append(out, lateResult{id: id})
		head := fmt.Sprintf("%s /p/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s", method, cmp.Or(l.host, fleet.PoolHost), id, l.fields)
		if method == http.MethodPost {
			head += contentLength(len(l.body))
		}
		if _, err := io.WriteString(conn, head+headEnd); err != nil {
			return out
		}
		time.Sleep(l.bodyAfter)
		if _, err := io.WriteString(conn, l.body); err != nil {
			return out
		}
	}
	for i := range out {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return out
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return out
		}
		out[i].status = resp.StatusCode
		if resp.Close {
			return out
		}
	}
	return out
}

// requireAnsweredWhileStopping has callers send requests on kept connections throughout the grace of a planned stop, and checks
// that each request that a target ran got a whole answer, and that none of them was refused as not run.
func requireAnsweredWhileStopping(t *testing.T, l lateRequest) {
	t.Helper()
	seen := &arrivals{ids: make(map[string]int)}
	var target *fleet.Target
	s := newSiteWith(t, siteOptions{targets: 1, routes: fleet.IdempotentPoolRoute("repeatable", repeatableHost), change: func(only *fleet.Target) {
		target = only
		target.Observer, target.Slots = seen, stopCallers*max(l.requests, 1)
		if l.pad > 0 {
			target.Pad = l.pad
		}
	}})
	conns, readers := make([]net.Conn, stopCallers), make([]*bufio.Reader, stopCallers)
	for i := range conns {
		conns[i] = s.dialServed()
		defer conns[i].Close()
		readers[i] = bufio.NewReader(conns[i])
	}
	target.SetWork(l.work)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	var all sync.WaitGroup
	results := make([][]lateResult, stopCallers)
	for i := range conns {
		all.Go(func() {
			time.Sleep(time.Duration(i) * siteGrace / stopCallers)
			results[i] = l.send(conns[i], readers[i], i)
		})
	}
	all.Wait()
	<-s.exited
	statuses := make(map[int]int)
	for _, list := range results {
		for _, r := range list {
			statuses[r.status]++
			if ran := seen.ran(r.id); ran > 0 {
				require.NotZero(t, r.status, "%s ran and got no answer", r.id)
				require.NotEqual(t, http.StatusServiceUnavailable, r.status, "%s ran and was refused as not run", r.id)
			}
		}
	}
	t.Logf("answers by status, 0 for none: %v", statuses)
	require.Positive(t, statuses[http.StatusOK])
}

// ran returns how often a target ran a request.
func (a *arrivals) ran(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// Ran implements fleet.Observer.
func (a *arrivals) Ran(_, id string) { a.record(fleet.Exchange{ID: id}) }

// Granted implements fleet.Observer.
func (a *arrivals) Granted(string, uint16, uint16, uint64, time.Time) {}

// Released implements fleet.Observer.
func (a *arrivals) Released(string, uint16, uint16) {}

// Abandoned implements fleet.Observer.
func (a *arrivals) Abandoned(string, string) {}

// Guards against unrepeatable requests that are taken late in the grace and cut at its end.
func TestLateUnrepeatableRequestsAreAnswered(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 50 * time.Millisecond})
}

// Guards against requests that are taken by their head and cut before their body was read, or while they run.
func TestLateRequestsWithLateBodiesAreAnswered(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 200 * time.Millisecond, body: "body", bodyAfter: 300 * time.Millisecond})
}

// Guards against requests whose time limit ends behind that of the process.
func TestLateRequestsWithLongWorkAreAnswered(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 700 * time.Millisecond, fields: fleet.Headers.DeadlineMs + ": 950\r\n"})
}

// Guards against pipelined requests behind the last one that is answered.
func TestLatePipelinedRequestsAreAnswered(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 50 * time.Millisecond, method: http.MethodGet, host: repeatableHost, requests: 4})
}

// Guards against pipelined unrepeatable requests, which run one after the other.
func TestLatePipelinedUnrepeatableRequestsAreAnswered(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 50 * time.Millisecond, requests: 4})
}

// Guards against large answers that are cut while they are written.
func TestLateLargeAnswersAreWhole(t *testing.T) {
	requireAnsweredWhileStopping(t, lateRequest{work: 50 * time.Millisecond, pad: 256 << 10})
}
