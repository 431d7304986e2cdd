package entry

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// patience bounds what a test waits for a thing that must happen.
const patience = 20 * time.Second

// agentPeer is an agent that answers pulls with one configuration.
type agentPeer struct {
	reply wire.PullReply
	ready chan struct{}
	end   chan struct{}
	once  sync.Once
}

func (a *agentPeer) Pull(args *wire.PullArgs, out *wire.PullReply) error {
	if args.Revision == a.reply.Revision {
		select {
		case <-time.After(args.Wait):
		case <-a.end:
		}
	}
	*out = a.reply
	return nil
}

func (a *agentPeer) Report(args *wire.ReportArgs, _ *wire.Empty) error {
	if args.Revision == a.reply.Revision && !args.Leaving {
		a.once.Do(func() { close(a.ready) })
	}
	return nil
}

// dispatchPeer is a dispatcher that notes what it is sent and answers by a
// function; without one it echoes the body.
type dispatchPeer struct {
	answer   func(*wire.Request) wire.Answer
	requests chan wire.Request
	cancels  chan string
}

func whole(r *wire.Request, status int, body string) wire.Answer {
	return wire.Answer{ID: r.ID, Status: status, Body: []byte(body), Sum: wire.Sum([]byte(body)), Header: http.Header{"X-Target": {"t1"}}}
}

func (d *dispatchPeer) Do(r *wire.Request, out *wire.Answer) error {
	d.requests <- *r
	if d.answer == nil {
		*out = whole(r, http.StatusOK, string(r.Body))
		return nil
	}
	*out = d.answer(r)
	return nil
}

func (d *dispatchPeer) Cancel(args *wire.CancelArgs, _ *wire.Empty) error {
	d.cancels <- args.ID
	return nil
}

var quiet = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}

// lab is a running entry between a fake agent and a fake dispatcher.
type lab struct {
	t        testing.TB
	addr     string
	agent    string
	life     *daemon.Lifecycle
	app      *fxtest.App
	dispatch *dispatchPeer
}

func servePeer(t testing.TB, name string, receiver any) string {
	t.Helper()
	s, err := peer.Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Register(name, receiver))
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	return s.Addr()
}

// labObjects are an unkeyed service with a body limit of 64 bytes and its customer.
func labObjects(target string) []platform.Object {
	return []platform.Object{
		{Kind: model.KindService, Name: "booth", Version: 1, Spec: []byte(`{"name": "booth", "slots": 64, "connections": 110,
			"deadline": "20s", "maxBody": 64, "targets": [{"name": "t1", "addr": "` + target + `", "dataCentre": "a"}]}`)},
		{Kind: model.KindContract, Name: "c1", Version: 1, Spec: []byte(`{"customer": "c1", "tokenSHA256": "` + hash(testToken) + `",
			"services": [{"service": "booth", "rate": 1e6, "burst": 100000, "concurrency": 1000}]}`)},
	}
}

func startUnstopped(t testing.TB, change func(*Settings)) *lab {
	t.Helper()
	dispatch := &dispatchPeer{requests: make(chan wire.Request, 100), cancels: make(chan string, 100)}
	l := startBefore(t, servePeer(t, "Dispatch", dispatch), labObjects("127.0.0.1:1"), change)
	l.dispatch = dispatch
	return l
}

// startBefore starts an entry whose only dispatcher is at the address. The agent is
// returned by its address too, for a real dispatcher.
func startBefore(t testing.TB, dispatcher string, objects []platform.Object, change func(*Settings)) *lab {
	t.Helper()
	agent := &agentPeer{ready: make(chan struct{}), end: make(chan struct{})}
	agent.reply = wire.PullReply{
		Source: "agent", Ready: true, Snapshot: true, Revision: 1, State: 1, Changed: true, Objects: objects,
		Members: []wire.Member{{VM: "vm1", DataCentre: "a", DispatchAddr: dispatcher}},
		Listed:  []wire.Place{{VM: "vm1"}},
	}
	s := &Settings{Listen: "127.0.0.1:0", Agent: servePeer(t, "Agent", agent)}
	s.Base = daemon.Base{VM: "vm1", DataCentre: "a", Admin: "127.0.0.1:0", Log: "error", LeaveLead: model.Duration(time.Millisecond)}
	t.Cleanup(func() { close(agent.end) })
	if change != nil {
		change(s)
	}
	require.NoError(t, s.Check())
	l := &lab{t: t, agent: s.Agent}
	clock := new(handClock)
	var e *entry
	l.app = fxtest.New(t, daemon.BaseModule(processName, s, quiet),
		fx.Provide(func() boottime.Clock { return clock }, newEntry), fx.Populate(&e, &l.life))
	l.app.RequireStart()
	l.addr = e.listener.Addr().String()
	changed := e.feed.Changed()
	if e.feed.Current().Revision == 0 {
		await(t, changed)
	}
	// A share of the contract is held only after the longest request of an
	// entry's earlier life would have ended.
	for range 100 {
		clock.now.Add(int64(time.Second))
		e.admitter.period(e.feed.Current())
	}
	await(t, agent.ready)
	return l
}

// await waits for what must happen.
func await(t testing.TB, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(patience):
		require.Fail(t, "the entry is not ready")
	}
}

// handClock is a clock that only tests move.
type handClock struct{ now atomic.Int64 }

func (c *handClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func startLab(t *testing.T, change func(*Settings)) *lab {
	l := startUnstopped(t, change)
	t.Cleanup(l.app.RequireStop)
	return l
}

// connect opens a connection to the entry.
func (l *lab) connect() net.Conn {
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { conn.Close() })
	require.NoError(l.t, conn.SetDeadline(time.Now().Add(patience)))
	return conn
}

// reply is what a caller received.
type reply struct {
	*http.Response
	body string
}

// read takes one answer from the connection.
func (l *lab) read(from *bufio.Reader, method string) reply {
	resp, err := http.ReadResponse(from, &http.Request{Method: method})
	require.NoError(l.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(l.t, err)
	return reply{resp, string(body)}
}

// raw sends the lines, joined by CRLF, and reads one answer.
func (l *lab) raw(lines ...string) reply {
	conn := l.connect()
	text := strings.Join(lines, "\r\n")
	_, err := io.Copy(conn, bytes.NewBufferString(text))
	require.NoError(l.t, err)
	method, _, _ := strings.Cut(text, " ")
	return l.read(bufio.NewReader(conn), method)
}

// send sends a well-formed request without a body.
func (l *lab) send(method, path string, headers ...string) reply {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: entry", authLine}, headers...)
	return l.raw(append(lines, "", "")...)
}

// post sends a well-formed request with a body.
func (l *lab) post(body string, headers ...string) reply {
	lines := append([]string{"POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Content-Length: " + strconv.Itoa(len(body))}, headers...)
	return l.raw(append(lines, "", body)...)
}

const authLine = "Authorization: Bearer " + testToken

// forwarded returns the request that the dispatcher got.
func (l *lab) forwarded() wire.Request {
	l.t.Helper()
	select {
	case r := <-l.dispatch.requests:
		return r
	case <-time.After(patience):
		require.Fail(l.t, "nothing was forwarded")
		return wire.Request{}
	}
}

// requireRefused checks a refusal as not run, of which nothing was forwarded.
func (l *lab) requireRefused(r reply, status int, kind problem.Kind) {
	l.t.Helper()
	require.Equal(l.t, status, r.StatusCode, r.body)
	require.Equal(l.t, string(problem.RanNo), r.Header.Get(problem.Header))
	require.Equal(l.t, problem.ContentType, r.Header.Get("Content-Type"))
	require.Contains(l.t, r.body, `"kind":"`+string(kind)+`"`)
	require.Empty(l.t, l.dispatch.requests, "a refused request was forwarded")
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
