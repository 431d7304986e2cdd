package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a large call that returns long after its deadline, and delays other calls on the
// connection, because the peer does not read and net/rpc is still writing the call.
func TestCallBeingWrittenEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	c := NewRequestClient(l.Addr().String(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	body := make([]byte, 64<<20)
	go func() { ended <- c.Call(ctx, "Echo.Take", body, new(string)) }()
	conn := <-accepted
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err, "the call is being written")
	cancel()
	var got error
	select {
	case got = <-ended:
	case <-time.After(maxEndWait):
		got = errors.New("the call has not ended")
	}
	_ = conn.Close()
	require.ErrorIs(t, got, context.Canceled)
}

// Guards against calls that are delayed past their deadlines by another call's write on the same
// connection.
func TestCallsQueuedBehindAStalledWriteEndUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer there.Close()
		s := newSession(here, ReplyBounds{})
		c := NewClient("peer", 1)
		defer c.Close()
		c.conns[0].current = s
		first, cancelFirst := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Call(first, "Echo.Take", make([]byte, 64<<10), new(string)) }()
		synctest.Wait()

		behind, cancelBehind := context.WithTimeout(t.Context(), 2*writeStallTimeout)
		defer cancelBehind()
		begin := time.Now()
		err := c.Call(behind, "Echo.Take", "small", new(string))
		require.ErrorIs(t, err, ErrNotSent)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 2*writeStallTimeout, time.Since(begin))
		require.Same(t, s, current(c))

		cancelFirst()
		require.ErrorIs(t, <-ended, ErrLost)
		time.Sleep(writeStallTimeout)
		synctest.Wait()
		require.Nil(t, current(c), "later calls use another connection")
	})
}

// Guards against a queued call that never returns after its client is closed.
func TestQueuedCallsEndWhenTheClientIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer there.Close()
		c := NewClient("peer", 1)
		c.conns[0].current = newSession(here, ReplyBounds{})
		ended := make(chan error, 2)
		for range 2 {
			go func() { ended <- c.Call(t.Context(), "Echo.Take", make([]byte, 64<<10), new(string)) }()
			synctest.Wait()
		}
		c.Close()
		require.ErrorIs(t, <-ended, ErrLost)
		require.ErrorIs(t, <-ended, ErrLost)
	})
}
