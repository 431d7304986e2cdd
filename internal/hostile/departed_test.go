package hostile

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/fleet"
)

// departedCallers is the number of callers that leave while the process does not run.
const departedCallers = 100

// repeatableHost is the host of a route whose requests may be repeated, so that pipelined ones run at the same time.
const repeatableHost = "repeatable.example"

// departure is what callers do while the process does not run.
type departure struct {
	// kept makes them use connections that were served before.
	kept bool
	// requests is the number of requests that each sends at once.
	requests int
	// fields are the fields of a request, body is its body.
	fields, body string
	// method and host default to GET and that of a route whose requests may not be repeated.
	method, host string
	// halfClose makes them end their direction only.
	halfClose bool
}

// arrivals are the ids of the requests that reached a target.
type arrivals struct {
	mu  sync.Mutex
	ids map[string]int
}

func (a *arrivals) record(e fleet.Exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[e.ID]++
}

// departed returns how many of the requests that reached a target belong to callers that left.
func (a *arrivals) departed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for id, times := range a.ids {
		if strings.HasPrefix(id, "left-") {
			n += times
		}
	}
	return n
}

func newArrivalSite(t *testing.T) (*site, *arrivals) {
	t.Helper()
	seen := &arrivals{ids: make(map[string]int)}
	return newSiteWith(t, siteOptions{targets: 1, routes: fleet.IdempotentPoolRoute("repeatable", repeatableHost), change: func(target *fleet.Target) { target.Exchanged = seen.record }}), seen
}

// suspend stops the process by a signal, and returns when it no longer runs.
func (p *process) suspend() {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGSTOP))
	p.eventually("the process is stopped", func() error {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("state %.1q", rest)
		}
		return nil
	})
}

// hangups returns how many connections to a local address have received the end of their caller's direction, and were not
// closed.
func hangups(addr string) (int, error) {
	const closeWait = "08"
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		return 0, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return 0, err
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	n := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[3] == closeWait {
			n++
		}
	}
	return n, nil
}

func (p *process) awaitHangups(addr string, want int) {
	p.t.Helper()
	p.eventually(fmt.Sprintf("%d connections that their callers ended", want), func() error {
		n, err := hangups(addr)
		if err == nil && n != want {
			err = fmt.Errorf("there are %d", n)
		}
		return err
	})
}

// requireNotPassedOn has callers send requests and leave while the process is stopped, and checks that none of the requests
// reaches a target once it continues.
func requireNotPassedOn(t *testing.T, d departure) {
	t.Helper()
	s, seen := newArrivalSite(t)
	conns := make([]net.Conn, departedCallers)
	if d.kept {
		for i := range conns {
			conns[i] = s.dialServed()
		}
	}
	s.suspend()
	for i := range conns {
		if !d.kept {
			conns[i] = s.dial()
		}
		d.send(t, conns[i], i)
	}
	s.awaitHangups(s.settings.Front, departedCallers)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGCONT))
	s.awaitHangups(s.settings.Front, 0)
	s.requireServed()
	require.Zero(t, seen.departed(), "requests of callers that left reached the target")
	s.check()
}

func (d departure) send(t *testing.T, conn net.Conn, caller int) {
	t.Helper()
	var text strings.Builder
	for i := range d.requests {
		fmt.Fprintf(&text, "%s /p/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: left-%d-%d\r\n%s", cmp.Or(d.method, "GET"), cmp.Or(d.host, fleet.PoolHost), caller, i, d.fields)
		if d.body != "" {
			text.WriteString(contentLength(len(d.body)))
		}
		text.WriteString(headEnd + d.body)
	}
	_, err := io.WriteString(conn, text.String())
	require.NoError(t, err)
	if d.halfClose {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		t.Cleanup(func() { conn.Close() })
		return
	}
	require.NoError(t, conn.Close())
}

// dial opens a caller's connection.
func (s *site) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.settings.Front)
	require.NoError(s.t, err)
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(hangTimeout)))
	return conn
}

// dialServed opens a caller's connection on which a request was answered.
func (s *site) dialServed() net.Conn {
	s.t.Helper()
	conn := s.dial()
	_, err := io.WriteString(conn, get+"X-Request-Id: first\r\n"+headEnd)
	require.NoError(s.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
	return conn
}

// Guards against requests on new connections that are passed on after their callers left.
func TestRequestOfACallerThatLeftBeforeItWasAcceptedIsNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, departure{requests: 1})
}

// Guards against requests on kept connections that are passed on after their callers left.
func TestRequestOfACallerThatLeftBeforeItWasReadIsNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, departure{kept: true, requests: 1})
}

// Guards against pipelined requests that are passed on after their callers left.
func TestPipelinedRequestsOfCallersThatLeftAreNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, departure{requests: 4, host: repeatableHost})
}

// Guards against requests behind which so much was sent that the end of the connection is not read with them.
func TestEndBehindUnreadRequestsIsNoticed(t *testing.T) {
	requireNotPassedOn(t, departure{kept: true, requests: 40, host: repeatableHost, fields: "F: " + strings.Repeat("f", 400) + "\r\n"})
}

// Guards against requests with bodies that are passed on after their callers left.
func TestRequestWithBodyOfACallerThatLeftIsNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, departure{requests: 1, method: "POST", body: strings.Repeat("b", 3000)})
}

// Guards against requests that are passed on for callers that ended their direction, which counts as leaving.
func TestRequestOfACallerThatHalfClosedIsNotPassedOn(t *testing.T) {
	requireNotPassedOn(t, departure{requests: 1, halfClose: true})
}

// Guards against requests that get a new time limit because they were read late.
func TestRequestThatWasReadAfterItsTimeIsNotPassedOn(t *testing.T) {
	const limit = 300 * time.Millisecond
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			s, seen := newArrivalSite(t)
			conns := make([]net.Conn, departedCallers)
			for i := range conns {
				if kept {
					conns[i] = s.dialServed()
				}
			}
			s.suspend()
			for i := range conns {
				if !kept {
					conns[i] = s.dial()
				}
				_, err := fmt.Fprintf(conns[i], "%sX-Request-Id: left-%d\r\n%s: %d\r\nConnection: close\r\n%s", get, i, fleet.Headers.DeadlineMs, limit.Milliseconds(), headEnd)
				require.NoError(t, err)
			}
			time.Sleep(limit)
			require.NoError(t, s.cmd.Process.Signal(syscall.SIGCONT))
			for _, conn := range conns {
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the request has not run")
				require.NoError(t, conn.Close())
			}
			s.requireServed()
			require.Zero(t, seen.departed(), "requests whose time was over reached the target")
			s.check()
		})
	}
}
