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

// scriptedServer starts a server that handles each connection by play, which gets the number of the
// connection, and returns a pool for it.
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

// Guards against a second answer, sent by a target after a complete one, that is
// returned to the next caller on the connection as its own.
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
	require.EqualValues(t, 5, p.dials.Count(), "a connection with unread bytes is not reused")
}

// Guards against the late answer to a canceled request being taken for the answer
// to the next one. The id distinguishes them.
func TestLateAnswerIsSkipped(t *testing.T) {
	p := scriptedServer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		id := readID(t, in)
		_, _ = io.WriteString(c, answer("late", "theirs")+answer(id, "own"))
	})
	a, err := p.Exchange(context.Background(), request("1"), AnyConn)
	require.NoError(t, err)
	require.Equal(t, "own", string(a.Body))
}

// Guards against a truncated answer that is taken for a complete one: with
// a length, in chunks, or without a length on a connection that is reset.
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

// Guards against a target that answers before it has read a long body, keeps the
// connection, and reads the next request as the rest of that body.
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

// unusedAddr is an address on which nothing listens; its port is below the
// ephemeral ports.
const unusedAddr = "127.0.0.1:1"

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	_, err := NewPool(unusedAddr, metrics.NewCounter()).Exchange(context.Background(), request("1"), AnyConn)
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a target that continues to work on a request after its caller has
// left. The target notices by the closed connection.
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
