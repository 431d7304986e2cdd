package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

func attempt(addr string) *Attempt {
	return &Attempt{
		Request:   &wire.Request{ID: "r1", Method: http.MethodPost, Path: "/work?a=%2F", Body: []byte("body"), Header: http.Header{"Idempotency-Key": {"k"}}},
		Target:    model.Target{Name: "t1", Addr: addr},
		MaxAnswer: 100,
		Deadline:  time.Now().Add(time.Minute),
	}
}

// serveRaw starts a server that answers each connection with a fixed text and closes it.
func serveRaw(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(conn, text)
			conn.Close()
		}
	}()
	return l.Addr().String()
}

func TestIncompleteAnswersAreErrors(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"too little", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour"},
		{"too much", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101)},
		{"endless", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 500)},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfour"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nabc"},
		{"no answer", ""},
		{"no HTTP", "hello\r\n\r\n"},
		{"header bomb", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSender(2)
			defer s.Close()
			answer, err := s.Send(context.Background(), attempt(serveRaw(t, c.answer)))
			require.Error(t, err)
			require.Nil(t, answer)
			require.NotErrorIs(t, err, ErrUnsent)
		})
	}
}

func TestRequestAndAnswerRoundTrip(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.RequestURI, r.Header.Get(HeaderRequestID), body)
	}))
	defer server.Close()
	s := NewSender(2)
	defer s.Close()
	answer, err := s.Send(context.Background(), attempt(server.Listener.Addr().String()))
	require.NoError(t, err)
	require.Equal(t, "/work?a=%2F r1 body", string(answer.Body))
	require.True(t, answer.Valid("r1"))
	require.False(t, answer.Valid("r2"))
}

func TestPathIsSentVerbatimAndCannotChangeAddress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Method, " ", r.RequestURI) }))
	defer server.Close()
	s := NewSender(2)
	defer s.Close()
	a := attempt(server.Listener.Addr().String())
	for _, method := range []string{http.MethodGet, http.MethodPost, "PROPFIND"} {
		a.Request.Method, a.Request.Body = method, nil
		for _, path := range []string{"/", "//a//", "/../b", "/a%2Fb?q=%20&q=+", "/%2e%2e/x", "/a?", "/@x:1/", "/a;b"} {
			a.Request.Path = path
			answer, err := s.Send(context.Background(), a)
			require.NoError(t, err, path)
			require.Equal(t, method+" "+path, string(answer.Body))
		}
	}
	for _, path := range []string{"", "@127.0.0.1:1/x", "%2F@127.0.0.1:1/x", "0/x", "?q"} {
		a.Request.Path = path
		_, err := s.Send(context.Background(), a)
		require.ErrorIs(t, err, ErrUnsent)
	}
}

func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.RawQuery)
		w.Header().Set("Content-Length", r.URL.RawQuery)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	s := NewSender(64)
	defer s.Close()
	for _, c := range []struct {
		method, size string
		body         []byte
	}{{http.MethodGet, "256", nil}, {http.MethodPost, "256", make([]byte, 256)}, {http.MethodGet, "65536", nil}} {
		b.Run(c.method+c.size, func(b *testing.B) {
			a := attempt(server.Listener.Addr().String())
			a.MaxAnswer = 1 << 20
			a.Request.Method, a.Request.Body, a.Request.Path = c.method, c.body, "/work?"+c.size
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Send(context.Background(), a); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestRefusalsAndUnsent(t *testing.T) {
	s := NewSender(1)
	defer s.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(problem.Header, string(problem.RanNo))
		w.Header().Set(HeaderRefused, string(RefusedShed))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	_, err := s.Send(context.Background(), attempt(server.Listener.Addr().String()))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, RefusedShed, refused.Reason)

	// Port 1 is never assigned automatically, so nothing listens on it.
	_, err = s.Send(context.Background(), attempt("127.0.0.1:1"))
	require.ErrorIs(t, err, ErrUnsent)
}

// A target reads a request on a kept-alive connection and the connection breaks. Without a
// safeguard net/http retries a request with an Idempotency-Key header on a new connection by
// itself, and it runs twice, e.g. opens one pull request twice.
func TestHTTPTransportNeverRetries(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if arrived.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	s := NewSender(1)
	defer s.Close()
	for _, c := range []struct {
		method string
		body   []byte
	}{{http.MethodPost, []byte("body")}, {http.MethodPost, nil}, {http.MethodGet, nil}, {http.MethodDelete, nil}} {
		arrived.Store(0)
		a := attempt(server.Listener.Addr().String())
		a.Request.Method, a.Request.Body = c.method, c.body
		_, err := s.Send(context.Background(), a)
		require.NoError(t, err, "the first request leaves an idle connection")
		_, err = s.Send(context.Background(), a)
		require.Error(t, err)
		require.EqualValues(t, 2, arrived.Load(), "the second request must arrive exactly once")
	}
}

func FuzzParseRank(f *testing.F) {
	f.Add("1.2.3.vm1")
	f.Add("")
	f.Add("1.2.3")
	f.Add("18446744073709551615.0.-1.a.b")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseRank(text)
		if err != nil {
			return
		}
		again, err := ParseRank(FormatRank(r))
		require.NoError(t, err)
		require.Equal(t, r, again)
	})
}

// A report of many groups is sent in chunks. A decoder that stops at the last brace leaves
// the final chunk unread, so net/http closes the connection after every order; agents spent
// a fifth of their time on opening connections.
func TestOrdersReuseTheirConnection(t *testing.T) {
	var dials atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Report{Incarnation: "t1-1", Groups: make([]GroupReport, 200)})
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			dials.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := NewOrderClient()
	defer c.Close()
	for range 20 {
		report, err := c.Send(context.Background(), server.Listener.Addr().String(), &Order{})
		require.NoError(t, err)
		require.Len(t, report.Groups, 200)
	}
	require.EqualValues(t, 1, dials.Load())
}
