package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// scriptedServer serves each connection with play, which gets the connection's number.
func scriptedServer(t *testing.T, play func(n int, c net.Conn, in *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				play(n, c, bufio.NewReader(c))
			}()
		}
	}()
	p := NewPool(l.Addr().String(), metrics.NewCounter())
	t.Cleanup(p.Close)
	return p
}

func request(id string) *Request {
	return &Request{Method: "GET", URI: "/a", Host: "h", Header: http.Header{"Id": {id}}, ID: id, IDHeader: "Id"}
}

func readID(t *testing.T, in *bufio.Reader) string {
	r, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReused(t *testing.T) {
	p := scriptedServer(t, func(n int, c net.Conn, in *bufio.Reader) {
		for id := readID(t, in); id != ""; id = readID(t, in) {
			_, _ = io.WriteString(c, answer(id, fmt.Sprint(n)))
		}
	})
	for i := range 3 {
		a, err := p.Exchange(context.Background(), request(fmt.Sprint(i)), AnyConn)
		require.NoError(t, err)
		require.Equal(t, "0", string(a.Body))
	}
	require.EqualValues(t, 1, p.dials.Count())
}

// A target sends a second answer after a whole one. The next caller on that
// connection would get it as its own: a stranger's page with status 200.
func TestStrayAnswerIsNotTakenForTheNextOne(t *testing.T) {
	p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for id := readID(t, in); id != ""; id = readID(t, in) {
			_, _ = io.WriteString(c, answer(id, "own")+answer("stranger", "theirs"))
		}
	})
	for i := range 5 {
		a, err := p.Exchange(context.Background(), request(fmt.Sprint(i)), AnyConn)
		require.NoError(t, err)
		require.Equal(t, "own", string(a.Body))
	}
	require.EqualValues(t, 5, p.dials.Count(), "a connection with stray bytes is not used again")
}

// An answer of a request that was given up arrives where the next answer is due.
// The id distinguishes them; the right one follows and is taken.
func TestLateAnswerIsSkipped(t *testing.T) {
	p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		id := readID(t, in)
		_, _ = io.WriteString(c, answer("late", "theirs")+answer(id, "own"))
	})
	a, err := p.Exchange(context.Background(), request("1"), AnyConn)
	require.NoError(t, err)
	require.Equal(t, "own", string(a.Body))
}

// A target breaks off: with a length, in chunks, or without a length by a reset.
// The caller must not take what came for the whole.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"reset":  "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
				readID(t, in)
				_, _ = io.WriteString(c, text)
				if name == "reset" {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := p.Exchange(context.Background(), request("1"), AnyConn)
			require.ErrorIs(t, err, ErrLost)
		})
	}
}

func TestAnswerWithoutLengthEndsWithTheConnection(t *testing.T) {
	p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readID(t, in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
	})
	a, err := p.Exchange(context.Background(), request("1"), AnyConn)
	require.NoError(t, err)
	require.Equal(t, "abc", string(a.Body))
}

// A target answers before it has read a long body and keeps the connection. The
// next request's bytes would be taken for the rest of the body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "early"))
		<-release
	})
	long := request("1")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	a, err := p.Exchange(context.Background(), long, AnyConn)
	require.NoError(t, err)
	require.Equal(t, "early", string(a.Body))
	_, err = p.Exchange(context.Background(), request("2"), AnyConn)
	require.NoError(t, err)
	require.EqualValues(t, 2, p.dials.Count())
}

// unusedAddr is an address below those that systems give out, where nobody listens.
const unusedAddr = "127.0.0.1:1"

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	_, err := NewPool(unusedAddr, metrics.NewCounter()).Exchange(context.Background(), request("1"), AnyConn)
	require.ErrorIs(t, err, ErrNotSent)
}

// A caller leaves while its request runs. The connection to the target is closed,
// which is how the target learns to stop.
func TestCancelClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	p := scriptedServer(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readID(t, in)
		close(arrived)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := p.Exchange(ctx, request("1"), AnyConn)
	require.ErrorIs(t, err, ErrLost)
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}
