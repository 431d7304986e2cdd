package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/stall"
)

type departed struct{}

// Left implements caller.Connection.
func (departed) Left() bool { return true }

// Work is a message that carries a request.
type Work struct {
	caller.Origin `msgpack:"-"`

	Text string
}

// worker records the requests that it receives.
type worker struct {
	calls atomic.Int32
	last  atomic.Pointer[Work]
}

func (w *worker) Do(in *Work, _ *struct{}) error {
	w.calls.Add(1)
	w.last.Store(in)
	return nil
}

func serveWorker(t *testing.T) (*Server, *worker) {
	t.Helper()
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	w := new(worker)
	require.NoError(t, s.Register("Worker", w))
	t.Cleanup(s.Close)
	return s, w
}

// Guards against a request that is passed on to another process after its caller left.
func TestCallOfACallerThatLeftIsNotWritten(t *testing.T) {
	s, w := serveWorker(t)
	go s.Serve()
	c := NewRequestClient(s.Addr(), 1)
	defer c.Close()
	for range 3 {
		err := c.Call(caller.WithConnection(t.Context(), departed{}), "Worker.Do", &Work{}, new(struct{}))
		require.ErrorIs(t, err, ErrNotSent)
		require.ErrorIs(t, err, caller.ErrLeft)
		require.NoError(t, c.Call(t.Context(), "Worker.Do", &Work{Text: "wanted"}, new(struct{})), "the connection is still in use")
	}
	require.EqualValues(t, 3, w.calls.Load())
	require.EqualValues(t, "wanted", w.last.Load().Text)
}

// Guards against work for a process that has ended, whose requests were read after it.
func TestRequestKnowsTheEndOfItsConnection(t *testing.T) {
	s, w := serveWorker(t)
	go s.Serve()
	c := NewRequestClient(s.Addr(), 1)
	require.NoError(t, c.Call(t.Context(), "Worker.Do", &Work{}, new(struct{})))
	origin := w.last.Load().From()
	require.False(t, origin.Left())
	c.Close()
	require.Eventually(t, origin.Left, 10*time.Second, time.Millisecond)
}

type manualClock struct{ now atomic.Int64 }

// Now implements boottime.Clock.
func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// Guards against requests that are taken for new after the process did not run.
func TestRequestThatMayHaveWaitedDuringAStallSaysSo(t *testing.T) {
	clock := new(manualClock)
	clock.now.Store(int64(time.Hour))
	s, w := serveWorker(t)
	s.Stalls = stall.NewMeter(clock)
	ctx, cancel := context.WithCancel(t.Context())
	synctest.Test(t, func(*testing.T) {
		go s.Stalls.Run(ctx, nil)
		synctest.Wait()
		cancel()
	})
	go s.Serve()
	c := NewRequestClient(s.Addr(), 1)
	defer c.Close()
	require.NoError(t, c.Call(t.Context(), "Worker.Do", &Work{}, new(struct{})))
	require.False(t, w.last.Load().WaitedTooLong())
	clock.now.Add(int64(time.Second))
	require.NoError(t, c.Call(t.Context(), "Worker.Do", &Work{}, new(struct{})))
	require.True(t, w.last.Load().WaitedTooLong())
}
