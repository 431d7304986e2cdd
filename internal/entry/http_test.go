package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// Failure: a body over the limit is refused only after it was read. Here the caller sends the
// headers, or one chunk, and never the rest.
func TestTooLargeBodyIsRefusedBeforeItIsRead(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, header := range []string{"X-None: 1", "Expect: 100-continue"} {
		r := l.sendRaw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Content-Length: 65", header, "", "")
		l.requireRefused(r, http.StatusRequestEntityTooLarge, problem.TooLarge)
	}
	chunk := "41\r\n" + strings.Repeat("b", 65) + "\r\n"
	r := l.sendRaw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Transfer-Encoding: chunked", "", chunk)
	l.requireRefused(r, http.StatusRequestEntityTooLarge, problem.TooLarge)
}

// Guards against bodies that together take more memory than the process has, and against memory that is never free again.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	l := startTestEntry(t, nil)
	all := (&Settings{MemoryMB: defaultMemoryMB}).memoryShare(bodyMemoryShare)
	require.True(t, l.bodies.TryAcquire(all-100))
	r := l.post(strings.Repeat("b", 64))
	l.requireRefused(r, http.StatusServiceUnavailable, problem.Full)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	r = l.post(strings.Repeat("b", 10))
	require.Equal(t, http.StatusOK, r.StatusCode)
	l.forwarded()
	require.Eventually(t, func() bool { return l.bodies.Used() == all-100 }, testTimeout, time.Millisecond)
}

// Guards against a default that refuses the largest body that a service may allow.
func TestLargestBodyFitsIntoTheDefaultMemory(t *testing.T) {
	const largest = 64 << 20
	s := &Settings{MemoryMB: defaultMemoryMB}
	held := budget.Reader{In: io.LimitReader(zeros{}, largest), Share: s.newMemory(metrics.NewRegistry()).Share(s.memoryShare(bodyMemoryShare))}
	n, err := io.Copy(io.Discard, &held)
	require.NoError(t, err)
	require.EqualValues(t, largest, n)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestExpectContinueAndChunkedBodyWithinLimitPass(t *testing.T) {
	l := startTestEntry(t, nil)
	conn := l.connect()
	fmt.Fprintf(conn, "POST /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n", authLine)
	from := bufio.NewReader(conn)
	require.Equal(t, http.StatusContinue, l.read(from, "POST").StatusCode)
	_, err := io.WriteString(conn, "body")
	require.NoError(t, err)
	require.Equal(t, "body", l.read(from, "POST").body)
	require.NotContains(t, l.forwarded().Header, "Expect")
	r := l.sendRaw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Transfer-Encoding: chunked", "Trailer: X-Sum", "",
		"4", "body", "0", "X-Sum: 1", "", "")
	require.Equal(t, "body", r.body)
	got := l.forwarded()
	require.Equal(t, "body", string(got.Body))
	require.NotContains(t, got.Header, "Trailer", "trailers are not forwarded: the target receives a length")
}

// Requests that net/http refuses before the handler runs must never be forwarded. They get a
// definite status and the connection is closed. net/http does not let us choose the body.
func TestMalformedRequestsAreRefusedByTheLibrary(t *testing.T) {
	l := startTestEntry(t, func(s *Settings) { s.MaxHeader = 1024 })
	begin := []string{"POST /s/booth/a HTTP/1.1", "Host: entry", authLine}
	cases := []struct {
		name   string
		lines  []string
		status int
	}{
		{"header bomb", append(begin, "X-Bomb: "+strings.Repeat("b", 64<<10), "", ""), http.StatusRequestHeaderFieldsTooLarge},
		{"two lengths", append(begin, "Content-Length: 4", "Content-Length: 5", "", "body"), http.StatusBadRequest},
		{"negative length", append(begin, "Content-Length: -1", "", ""), http.StatusBadRequest},
		{"unknown encoding", append(begin, "Transfer-Encoding: gzip", "", ""), http.StatusNotImplemented},
		{"no Host", []string{"GET /s/booth/a HTTP/1.1", authLine, "", ""}, http.StatusBadRequest},
		{"bad escape", []string{"GET /s/booth/%zz HTTP/1.1", "Host: entry", authLine, "", ""}, http.StatusBadRequest},
		{"no version", []string{"GET /s/booth/a", "", ""}, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := l.sendRaw(c.lines...)
			require.Equal(t, c.status, r.StatusCode)
			require.True(t, r.Close)
			require.Empty(t, l.dispatch.requests)
		})
	}
	require.Equal(t, http.StatusOK, l.post("body").StatusCode, "the entry must still serve requests")
}

// Failure: request smuggling. One server reads a body by Content-Length and another by its
// chunks, so that a request hidden in the body runs with the token of the request before it. The
// entry must not go by either (RFC 9112, section 6.3, allows to refuse the request), and the bytes that follow
// must not be read as a request.
func TestAmbiguousLengthsDoNotSmuggleRequests(t *testing.T) {
	l := startTestEntry(t, nil)
	conn := l.connect()
	hidden := "GET /s/booth/hidden HTTP/1.1\r\nHost: entry\r\n\r\n"
	fmt.Fprintf(conn, "POST /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
		authLine, 5+len(hidden), hidden)
	from := bufio.NewReader(conn)
	refused := l.read(from, "POST")
	require.Equal(t, http.StatusBadRequest, refused.StatusCode)
	require.True(t, refused.Close)
	_, err := from.ReadByte()
	require.ErrorIs(t, err, io.EOF, "nothing else is answered")
	require.Empty(t, l.dispatch.requests)
	same := l.sendRaw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Content-Length: 4", "Content-Length: 4", "", "body")
	require.Equal(t, "body", same.body)
}

// Failure: callers that send half a request hold connections for ever. ReadTimeout must close
// these connections; other callers are served meanwhile, and no incomplete request is forwarded.
func TestSlowSendersTimeOutAndOthersAreServed(t *testing.T) {
	l := startTestEntry(t, func(s *Settings) { s.ReadTimeout = model.Duration(300 * time.Millisecond) })
	headers, body := l.connect(), l.connect()
	fmt.Fprintf(headers, "POST /s/booth/slow HTTP/1.1\r\nHost: entry\r\n")
	fmt.Fprintf(body, "POST /s/booth/slow HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: 40\r\n\r\nhalf", authLine)
	require.Equal(t, http.StatusOK, l.post("body").StatusCode)
	require.Equal(t, "/a", l.forwarded().Path)
	l.requireRefused(l.read(bufio.NewReader(body), "POST"), http.StatusBadRequest, problem.BadRequest)
	_, err := io.Copy(io.Discard, headers)
	require.NoError(t, err, "the connection must be closed")
	require.Empty(t, l.dispatch.requests)
}

// Failure: a request that runs longer than readTimeout is cancelled. The timeout is meant for
// reading the request; if it stayed in force while the request runs, its expiry would look like
// a caller that disconnected.
func TestReadTimeoutDoesNotCancelARunningRequest(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	l := startTestEntry(t, func(s *Settings) { s.ReadTimeout = model.Duration(readTimeout) })
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		select {
		case <-l.dispatch.cancels:
			return wholeAnswer(r, http.StatusInternalServerError, "cancelled")
		case <-time.After(2 * readTimeout):
			return wholeAnswer(r, http.StatusOK, "late")
		}
	}
	require.Equal(t, "late", l.send("GET", "/s/booth/audit").body)
	require.Equal(t, "late", l.post("with a body").body)
}

// Failure: the entry closes an idle connection after readTimeout, while a load balancer sends the
// next request on it. The caller then does not learn whether its request ran.
func TestIdleConnectionOutlivesReadTimeout(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	l := startTestEntry(t, func(s *Settings) { s.ReadTimeout = model.Duration(readTimeout) })
	conn := l.connect()
	from := bufio.NewReader(conn)
	for range 2 {
		_, err := fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, l.read(from, "GET").StatusCode)
		<-time.After(2 * readTimeout)
	}
}

// Failure: a request whose caller has disconnected keeps a slot occupied. The dispatcher must be
// notified, so that it can cancel the request.
func TestDispatcherIsNotifiedWhenCallerDisconnects(t *testing.T) {
	l := startTestEntry(t, nil)
	end := make(chan struct{})
	defer close(end)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		<-end
		return wholeAnswer(r, http.StatusOK, "")
	}
	conn := l.connect()
	fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
	got := l.forwarded()
	conn.Close()
	select {
	case id := <-l.dispatch.cancels:
		require.Equal(t, got.ID, id)
	case <-time.After(testTimeout):
		require.Fail(t, "the dispatcher was not notified")
	}
}

func TestAnswersWithoutBody(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified, http.StatusOK} {
		l.dispatch.answer = func(r *wire.Request) wire.Answer { return wholeAnswer(r, status, "") }
		conn := l.connect()
		from := bufio.NewReader(conn)
		for range 2 {
			fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
			r := l.read(from, "GET")
			require.Equal(t, status, r.StatusCode)
			require.Empty(t, r.body)
			require.Equal(t, string(problem.RanYes), r.Header.Get(problem.Header))
		}
	}
}

// Failure: the answer to HEAD has the length of its empty body, so that the caller takes the
// resource to be empty. The length must be the one that the target states.
func TestHeadAnswerHasLengthFromTarget(t *testing.T) {
	l := startTestEntry(t, nil)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		a := wholeAnswer(r, http.StatusOK, "")
		a.Header.Set("Content-Length", "1234")
		return a
	}
	r := l.send("HEAD", "/s/booth/a")
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "1234", r.Header.Get("Content-Length"))
	require.Equal(t, "0", l.send("GET", "/s/booth/a").Header.Get("Content-Length"))
}

func TestHTTP10IsServed(t *testing.T) {
	l := startTestEntry(t, nil)
	r := l.sendRaw("POST /s/booth/a HTTP/1.0", authLine, "Content-Length: 4", "", "body")
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "body", r.body)
	require.True(t, r.Close)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	l := startTestEntry(t, nil)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		a := wholeAnswer(r, http.StatusOK, "body")
		a.Header = http.Header{
			"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=1"}, "Transfer-Encoding": {"chunked"},
			"Content-Length": {"99"}, "Hq-Ran": {"no"}, "Set-Cookie": {"a", "b"},
		}
		return a
	}
	r := l.send("GET", "/s/booth/a", "Connection: X-Mine", "X-Mine: 1", "TE: trailers", "Upgrade: websocket", "X-Far: 1")
	require.Equal(t, http.Header{"X-Far": {"1"}}, l.forwarded().Header)
	require.Equal(t, "body", r.body)
	require.Equal(t, int64(4), r.ContentLength)
	require.Equal(t, []string{"a", "b"}, r.Header["Set-Cookie"])
	require.Equal(t, []string{"yes"}, r.Header["Hq-Ran"])
	for _, name := range []string{"X-Hop", "Keep-Alive", "Connection"} {
		require.NotContains(t, r.Header, name)
	}
}

func TestPathsAndQueriesAreForwardedUnchanged(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, path := range []string{
		"/", "/a%2Fb", "/a%20b?q=%20&q=+", "//double//", "/../../etc", "/./a/..", "/%2e%2e/x", "/%C3%A9", "/a?", "/a;b=c", "/@x:1/", "/?a=/s/x",
	} {
		require.Equal(t, http.StatusOK, l.send("GET", "/s/booth"+path).StatusCode, path)
		require.Equal(t, path, l.forwarded().Path)
	}
	require.Equal(t, http.StatusOK, l.send("GET", "/s/boo%74h/a").StatusCode)
	require.Equal(t, "/a", l.forwarded().Path)
}

// Failure: a caller writes the slash after the service as %2F. If the path is split after
// unescaping, the rest begins without a slash and is joined to the target's address, so that the
// request goes to an address of the caller's choice.
func TestPathCannotChangeTargetAddress(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, path := range []string{
		"/s/booth%2F@127.0.0.1:1/x", "/s/booth%2Fa/b", "/s/booth", "/s/", "/", "/s//booth/a", "/x/booth/a", "/S/booth/a",
	} {
		l.requireRefused(l.send("GET", path), http.StatusNotFound, problem.UnknownService)
	}
}

func TestMethodsAreForwardedUnchanged(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, method := range []string{"PROPFIND", "PURGE", "QUERY", "TRACE", "OPTIONS", "PATCH", "get"} {
		require.Equal(t, http.StatusOK, l.send(method, "/s/booth/a").StatusCode, method)
		got := l.forwarded()
		require.Equal(t, method, got.Method)
		require.Equal(t, method == "TRACE" || method == "OPTIONS", got.Idempotent, "methods not known to be idempotent run at most once")
	}
	l.requireRefused(l.send("CONNECT", "/s/booth/a"), http.StatusBadRequest, problem.BadRequest)
	l.requireRefused(l.send("CONNECT", "booth:80"), http.StatusBadRequest, problem.BadRequest)
}

// Failure: a caller receives the answer to another request, or one that was corrupted on the way.
func TestForeignOrCorruptAnswerIsUnknown(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, damage := range []func(*wire.Answer){
		func(a *wire.Answer) { a.ID = "vm9-1-1" },
		func(a *wire.Answer) { a.ID = "" },
		func(a *wire.Answer) { a.Body = a.Body[:2] },
		func(a *wire.Answer) { a.Sum++ },
		func(a *wire.Answer) { a.Status = 0 },
		func(a *wire.Answer) { a.Status = 100 },
		func(a *wire.Answer) { a.Status = 1000 },
	} {
		l.dispatch.answer = func(r *wire.Request) wire.Answer {
			a := wholeAnswer(r, http.StatusOK, "foreign")
			damage(&a)
			return a
		}
		r := l.send("GET", "/s/booth/a")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
		require.Equal(t, string(problem.RanUnknown), r.Header.Get(problem.Header))
		require.NotContains(t, r.body, "foreign")
	}
}

// Guards against an answer with a status that suggests that the request has not run, and no header that says that it has.
func TestAnswerOfATargetSaysThatTheRequestHasRun(t *testing.T) {
	l := startTestEntry(t, nil)
	for status := 200; status <= 599; status++ {
		l.dispatch.answer = func(r *wire.Request) wire.Answer {
			a := wholeAnswer(r, status, "")
			a.Header = http.Header{problem.Header: {string(problem.RanNo)}}
			return a
		}
		r := l.send("GET", "/s/booth/a")
		l.forwarded()
		require.Equal(t, status, r.StatusCode)
		require.Equal(t, []string{string(problem.RanYes)}, r.Header[problem.Header])
	}
}

// Guards against a broken answer of a target that a dispatcher, which runs an earlier version, passes on.
func TestBrokenAnswerOfADispatcherIsUnknown(t *testing.T) {
	l := startTestEntry(t, nil)
	for _, damage := range []func(*wire.Answer){
		func(a *wire.Answer) { a.Status = 99 },
		func(a *wire.Answer) { a.Status = 600 },
		func(a *wire.Answer) { a.Status = 999 },
		func(a *wire.Answer) { a.Header["X A"] = []string{"b"} },
		func(a *wire.Answer) { a.Header["X-A\x00"] = []string{"b"} },
	} {
		l.dispatch.answer = func(r *wire.Request) wire.Answer {
			a := wholeAnswer(r, http.StatusOK, "first part")
			damage(&a)
			return a
		}
		r := l.send("GET", "/s/booth/a")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
		require.Equal(t, string(problem.RanUnknown), r.Header.Get(problem.Header))
		require.NotContains(t, r.body, "first part")
	}
}

// Failure: a request in flight is aborted when the entry shuts down. The request must be
// completed, the drain must allow for the longest deadline in force, and requests that arrive on
// an idle connection after the drain lead must be refused as not run.
func TestStopDrainsRequestsInFlight(t *testing.T) {
	l := startWithoutCleanup(t, nil)
	end := make(chan struct{})
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		<-end
		return wholeAnswer(r, http.StatusOK, "whole")
	}
	conn := l.connect()
	fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
	l.forwarded()
	stopped := make(chan struct{})
	go func() {
		l.app.RequireStop()
		close(stopped)
	}()
	<-l.life.Draining()
	require.Equal(t, time.Minute, l.life.MaxDeadline(), "the drain must wait for the longest deadline in force")
	require.Empty(t, l.dispatch.cancels)
	close(end)
	r := l.read(bufio.NewReader(conn), "GET")
	require.Equal(t, "whole", r.body)
	<-stopped
	require.False(t, l.life.Serving())
}
