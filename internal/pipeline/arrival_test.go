package pipeline

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/caller"
	_ "hemlockquay/internal/fixedseed"
)

// Guards against bytes that count as older than they are, whose requests would be refused before their time is over.
func TestArrivalsAreNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var want []time.Duration
		var now time.Duration
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			if n := rapid.IntRange(1, 50).Draw(t, "bytes"); rapid.Bool().Draw(t, "arrive") {
				a.add(n, now)
				for range n {
					want = append(want, now)
				}
			} else if n = min(n, len(want)); n > 0 {
				at := a.take(n)
				require.GreaterOrEqual(t, at, want[n-1])
				require.LessOrEqual(t, at, now)
				want = want[n:]
			}
			require.LessOrEqual(t, len(a), maxArrivals)
			total := 0
			for _, b := range a {
				total += b.bytes
			}
			require.Equal(t, len(want), total)
		}
	})
}

// Guards against a time limit that begins when a connection is read, and against an end that lies behind unread bytes.
func TestRequestKnowsItsAgeAndTheEndOfItsCaller(t *testing.T) {
	type look struct {
		waited time.Duration
		err    error
	}
	looks, next := make(chan look), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for range next {
			looks <- look{Waited(r.Context()), caller.Check(r.Context())}
		}
	})}
	Attach(server)
	go func() {
		_ = server.Serve(NewListener(l, Limits{Requests: 1, ReadAhead: readSize}, metrics.NewRegistry()))
	}()
	defer server.Close()
	defer close(next)
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	// What follows the request is more than the connection reads ahead, and fits into the buffer of the system.
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2_000)))
	require.NoError(t, err)
	next <- struct{}{}
	first := <-looks
	require.NoError(t, first.err)
	time.Sleep(20 * time.Millisecond)
	next <- struct{}{}
	second := <-looks
	require.NoError(t, second.err)
	require.GreaterOrEqual(t, second.waited, first.waited+20*time.Millisecond)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	require.Eventually(t, func() bool {
		next <- struct{}{}
		return (<-looks).err != nil
	}, testTimeout, time.Millisecond)
	next <- struct{}{}
	require.ErrorIs(t, (<-looks).err, caller.ErrLeft)
}
