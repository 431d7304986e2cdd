package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hemlockquay/internal/standin/link/linktest"
)

// Guards against a request that arrives at a target after its exchange has returned an error: the
// path to the target is cut, the request is canceled, and the kernel delivers it when the cut ends.
func TestCanceledRequestDoesNotArriveAfterACut(t *testing.T) {
	var arrived atomic.Int32
	l := linktest.Serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			arrived.Add(1)
		}
	}))
	p := NewPool(l.Addr(), metrics.NewCounter())
	defer p.Close()
	first := request("")
	_, err := p.Exchange(t.Context(), first, NewConn)
	require.NoError(t, err, "the link carries the connection")

	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	exchangeErr := make(chan error)
	go func() {
		r := request("2")
		r.Method = http.MethodPost
		_, err := p.Exchange(ctx, r, KeptConn)
		exchangeErr <- err
	}()
	l.AwaitHeld()
	cancel()
	require.ErrorIs(t, <-exchangeErr, ErrLost)
	l.AwaitEnded()
	l.Heal()
	l.Drain()
	require.Zero(t, arrived.Load())
}

// Guards against the same for a VM whose process is killed: the kernel closes its connections and
// must not continue to send. The test checks only that SO_LINGER is set to 0, which makes the kernel
// reset them.
func TestConnectionsAreResetAtTheEndOfTheProcess(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	p := NewPool(server.Listener.Addr().String(), metrics.NewCounter())
	defer p.Close()
	require.NoError(t, p.Connect(t.Context()))
	raw, err := p.pop(request("")).net.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var linger *unix.Linger
	require.NoError(t, raw.Control(func(fd uintptr) {
		linger, err = unix.GetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER)
	}))
	require.NoError(t, err)
	require.Equal(t, unix.Linger{Onoff: 1}, *linger)
}
