package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// A caller sends a body over the limit. The answer must come before the body is
// read: here the caller never sends it.
func TestTooLargeIsRefusedBeforeTheBody(t *testing.T) {
	l := startLab(t, nil)
	for _, header := range []string{"X-None: 1", "Expect: 100-continue"} {
		r := l.raw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Content-Length: 65", header, "", "")
		l.requireRefused(r, http.StatusRequestEntityTooLarge, problem.TooLarge)
	}
	chunk := "41\r\n" + strings.Repeat("b", 65) + "\r\n"
	r := l.raw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Transfer-Encoding: chunked", "", chunk)
	l.requireRefused(r, http.StatusRequestEntityTooLarge, problem.TooLarge)
}

func TestExpectContinueAndChunkedBodyWithinLimitPass(t *testing.T) {
	l := startLab(t, nil)
	conn := l.connect()
	fmt.Fprintf(conn, "POST /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n", authLine)
	from := bufio.NewReader(conn)
	require.Equal(t, http.StatusContinue, l.read(from, "POST").StatusCode)
	_, err := io.WriteString(conn, "body")
	require.NoError(t, err)
	require.Equal(t, "body", l.read(from, "POST").body)
	require.NotContains(t, l.forwarded().Header, "Expect")
	r := l.raw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Transfer-Encoding: chunked", "Trailer: X-Sum", "",
		"4", "body", "0", "X-Sum: 1", "", "")
	require.Equal(t, "body", r.body)
	got := l.forwarded()
	require.Equal(t, "body", string(got.Body))
	require.NotContains(t, got.Header, "Trailer", "trailers end here: the target gets a length")
}

// What the library refuses before our handler sees it: it is never forwarded, the
// status is clear, and the connection ends. The library gives no say in the body.
func TestMalformedRequestsAreRefusedByTheLibrary(t *testing.T) {
	l := startLab(t, func(s *Settings) { s.MaxHeader = 1024 })
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
			r := l.raw(c.lines...)
			require.Equal(t, c.status, r.StatusCode)
			require.True(t, r.Close)
			require.Empty(t, l.dispatch.requests)
		})
	}
	require.Equal(t, http.StatusOK, l.post("body").StatusCode, "the entry goes on")
}

// One reader takes the length, another the chunks, and a request hides in the body
// of the one before: it would run with the first one's token. Here the chunks count
// (RFC 9112 section 6.3) and what follows must bring a token of its own.
func TestAmbiguousLengthsSmuggleNoRequest(t *testing.T) {
	l := startLab(t, nil)
	conn := l.connect()
	hidden := "GET /s/booth/hidden HTTP/1.1\r\nHost: entry\r\n\r\n"
	fmt.Fprintf(conn, "POST /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
		authLine, 5+len(hidden), hidden)
	from := bufio.NewReader(conn)
	require.Equal(t, http.StatusOK, l.read(from, "POST").StatusCode)
	got := l.forwarded()
	require.Empty(t, got.Body)
	require.NotContains(t, got.Header, "Content-Length")
	l.requireRefused(l.read(from, "GET"), http.StatusUnauthorized, problem.UnknownToken)
	same := l.raw("POST /s/booth/a HTTP/1.1", "Host: entry", authLine, "Content-Length: 4", "Content-Length: 4", "", "body")
	require.Equal(t, "body", same.body)
}

// Callers that send half a request hold connections for ever. The time limit ends
// them; others are served meanwhile, and nothing of them is forwarded.
func TestSlowSendersAreCutAndOthersServed(t *testing.T) {
	l := startLab(t, func(s *Settings) { s.ReadTimeout = model.Duration(300 * time.Millisecond) })
	headers, body := l.connect(), l.connect()
	fmt.Fprintf(headers, "POST /s/booth/slow HTTP/1.1\r\nHost: entry\r\n")
	fmt.Fprintf(body, "POST /s/booth/slow HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: 40\r\n\r\nhalf", authLine)
	require.Equal(t, http.StatusOK, l.post("body").StatusCode)
	require.Equal(t, "/a", l.forwarded().Path)
	l.requireRefused(l.read(bufio.NewReader(body), "POST"), http.StatusBadRequest, problem.BadRequest)
	_, err := io.Copy(io.Discard, headers)
	require.NoError(t, err, "the connection is closed")
	require.Empty(t, l.dispatch.requests)
}

// A nightly audit takes longer than readTimeout. The limit is for reading: if it
// stayed armed while the request runs, its end would look like a caller that went
// away, and the audit would be cancelled.
func TestReadTimeoutDoesNotCancelARunningRequest(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	l := startLab(t, func(s *Settings) { s.ReadTimeout = model.Duration(readTimeout) })
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		select {
		case <-l.dispatch.cancels:
			return whole(r, http.StatusInternalServerError, "cancelled")
		case <-time.After(2 * readTimeout):
			return whole(r, http.StatusOK, "late")
		}
	}
	require.Equal(t, "late", l.send("GET", "/s/booth/audit").body)
	require.Equal(t, "late", l.post("with a body").body)
}

// A balancer keeps a connection without a request for longer than readTimeout and
// sends the next one on it. Were it closed then, the caller would not learn whether
// its request ran.
func TestKeptConnectionOutlivesReadTimeout(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	l := startLab(t, func(s *Settings) { s.ReadTimeout = model.Duration(readTimeout) })
	conn := l.connect()
	from := bufio.NewReader(conn)
	for range 2 {
		_, err := fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, l.read(from, "GET").StatusCode)
		<-time.After(2 * readTimeout)
	}
}

// A caller that hangs up waits for nothing: the dispatcher is notified, so that a slot
// is not held for it.
func TestCallerGoneIsToldToTheDispatcher(t *testing.T) {
	l := startLab(t, nil)
	end := make(chan struct{})
	defer close(end)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		<-end
		return whole(r, http.StatusOK, "")
	}
	conn := l.connect()
	fmt.Fprintf(conn, "GET /s/booth/a HTTP/1.1\r\nHost: entry\r\n%s\r\n\r\n", authLine)
	got := l.forwarded()
	conn.Close()
	select {
	case id := <-l.dispatch.cancels:
		require.Equal(t, got.ID, id)
	case <-time.After(patience):
		require.Fail(t, "the dispatcher was not told")
	}
}

func TestAnswersWithoutBody(t *testing.T) {
	l := startLab(t, nil)
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified, http.StatusOK} {
		l.dispatch.answer = func(r *wire.Request) wire.Answer { return whole(r, status, "") }
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

// HEAD of a large resource tells its length; the target sends no body. Reporting
// the length of the empty body would tell the caller that the resource is empty.
func TestHeadKeepsTheTargetsLength(t *testing.T) {
	l := startLab(t, nil)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		a := whole(r, http.StatusOK, "")
		a.Header.Set("Content-Length", "1234")
		return a
	}
	r := l.send("HEAD", "/s/booth/a")
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "1234", r.Header.Get("Content-Length"))
	require.Equal(t, "0", l.send("GET", "/s/booth/a").Header.Get("Content-Length"))
}

func TestHTTP10IsServed(t *testing.T) {
	l := startLab(t, nil)
	r := l.raw("POST /s/booth/a HTTP/1.0", authLine, "Content-Length: 4", "", "body")
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "body", r.body)
	require.True(t, r.Close)
}

func TestHopByHopHeadersStayOnTheirHop(t *testing.T) {
	l := startLab(t, nil)
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		a := whole(r, http.StatusOK, "body")
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

func TestPathsAndQueriesArriveAsWritten(t *testing.T) {
	l := startLab(t, nil)
	for _, path := range []string{
		"/", "/a%2Fb", "/a%20b?q=%20&q=+", "//double//", "/../../etc", "/./a/..", "/%2e%2e/x", "/%C3%A9", "/a?", "/a;b=c", "/@x:1/", "/?a=/s/x",
	} {
		require.Equal(t, http.StatusOK, l.send("GET", "/s/booth"+path).StatusCode, path)
		require.Equal(t, path, l.forwarded().Path)
	}
	require.Equal(t, http.StatusOK, l.send("GET", "/s/boo%74h/a").StatusCode)
	require.Equal(t, "/a", l.forwarded().Path)
}

// A caller writes the slash after the service as %2F. Cut at the wrong place, the
// rest begins without a slash and is glued to the target's address: the request
// goes to an address of the caller's choice.
func TestPathCannotChooseTheTargetsAddress(t *testing.T) {
	l := startLab(t, nil)
	for _, path := range []string{
		"/s/booth%2F@127.0.0.1:1/x", "/s/booth%2Fa/b", "/s/booth", "/s/", "/", "/s//booth/a", "/x/booth/a", "/S/booth/a",
	} {
		l.requireRefused(l.send("GET", path), http.StatusNotFound, problem.UnknownService)
	}
}

func TestMethodsArriveAsWritten(t *testing.T) {
	l := startLab(t, nil)
	for _, method := range []string{"PROPFIND", "PURGE", "QUERY", "TRACE", "OPTIONS", "PATCH", "get"} {
		require.Equal(t, http.StatusOK, l.send(method, "/s/booth/a").StatusCode, method)
		got := l.forwarded()
		require.Equal(t, method, got.Method)
		require.Equal(t, method == "TRACE" || method == "OPTIONS", got.Idempotent, "unknown methods run at most once")
	}
	l.requireRefused(l.send("CONNECT", "/s/booth/a"), http.StatusBadRequest, problem.BadRequest)
	l.requireRefused(l.send("CONNECT", "booth:80"), http.StatusBadRequest, problem.BadRequest)
}

// An answer that belongs to another request, or whose body was damaged on the way,
// must never reach a caller.
func TestForeignOrDamagedAnswerIsUnknown(t *testing.T) {
	l := startLab(t, nil)
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
			a := whole(r, http.StatusOK, "foreign")
			damage(&a)
			return a
		}
		r := l.send("GET", "/s/booth/a")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
		require.Equal(t, string(problem.RanUnknown), r.Header.Get(problem.Header))
		require.NotContains(t, r.body, "foreign")
	}
}

// The entry leaves while a request runs: the request ends whole, and one that comes
// on a kept connection after the lead is refused as not run.
func TestStopEndsRequestsInFlight(t *testing.T) {
	l := startUnstopped(t, nil)
	end := make(chan struct{})
	l.dispatch.answer = func(r *wire.Request) wire.Answer {
		<-end
		return whole(r, http.StatusOK, "whole")
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
	require.Equal(t, time.Minute, l.life.MaxDeadline(), "the drain waits for the longest deadline in force")
	require.Empty(t, l.dispatch.cancels)
	close(end)
	r := l.read(bufio.NewReader(conn), "GET")
	require.Equal(t, "whole", r.body)
	<-stopped
	require.False(t, l.life.Serving())
}
