package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link"
	"hemlockquay/internal/standin/link/linktest"
	"hemlockquay/internal/standin/virtualnet"
)

type diary struct{ booked atomic.Int32 }

func (d *diary) Book(_ string, _ *string) error { d.booked.Add(1); return nil }
func (d *diary) Say(in string, out *string) error {
	*out = in
	return nil
}

// maxEndWait bounds the wait for an event that must happen, such as the end of a connection. It
// is reached only if the test fails.
const maxEndWait = 8 * time.Second

// Guards against a call that is executed seconds after its caller has got ErrLost, which leads to
// a double booking if the caller has retried meanwhile. The path is cut, the call times out on a
// shared connection that stays open, and the kernel delivers the call when the cut ends.
func TestTimedOutCallIsNotExecutedAfterACut(t *testing.T) {
	d := new(diary)
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Register("Diary", d))
	go s.Serve()
	l := linktest.To(t, s.Addr())
	c := NewRequestClient(l.Addr(), 1)
	defer c.Close()
	var out string
	require.NoError(t, c.Call(t.Context(), "Diary.Say", "x", &out), "the link carries the connection")

	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	callErr := make(chan error, 1)
	go func() { callErr <- c.Call(ctx, "Diary.Book", "late", new(string)) }()
	l.AwaitHeld()
	cancel()
	require.ErrorIs(t, <-callErr, ErrLost, "it may have run before the cut")
	awaitEnded(l)
	l.Heal()
	require.NoError(t, c.Call(t.Context(), "Diary.Say", "y", &out), "calls after the cut are answered")
	c.Close()
	l.Drain()
	// Close waits for the calls that the server has read.
	s.Close()
	require.Zero(t, d.booked.Load(), "the call was executed after it was canceled")
}

// echoOverLink returns a request client of an echo server, and the link that carries its
// connection.
func echoOverLink(t *testing.T) (*link.Link, *Client) {
	s := serve(t, "127.0.0.1:0", &echo{})
	t.Cleanup(s.Close)
	l := linktest.To(t, s.Addr())
	c := NewRequestClient(l.Addr(), 1)
	t.Cleanup(c.Close)
	require.NoError(t, c.Call(t.Context(), "Echo.Say", "x", new(string)), "the link carries the connection")
	return l, c
}

// awaitEnded waits until the sender of the data held by the cut link has ended its connection, at
// most for maxEndWait.
func awaitEnded(l *link.Link) {
	ended := make(chan struct{})
	go func() {
		l.AwaitEnded()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(maxEndWait):
	}
}

// Guards against a pending call that is reported as not sent although it may have run. During a
// cut another call on the same connection is canceled, and the connection is reset while the
// first call is still pending.
func TestPendingCallOnSilentConnectionIsReportedLost(t *testing.T) {
	l, c := echoOverLink(t)
	l.Cut()
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(t.Context(), "Echo.Say", "y", new(string)) }()
	l.AwaitHeld()
	// A call that is canceled before it is written is not sent.
	err := ErrNotSent
	for patience := 10 * time.Millisecond; errors.Is(err, ErrNotSent); patience *= 2 {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		err = c.Call(ctx, "Echo.Say", "z", new(string))
		cancel()
	}
	require.ErrorIs(t, err, ErrLost)
	err = <-waiting
	require.ErrorIs(t, err, ErrLost)
	require.NotErrorIs(t, err, ErrNotSent)
}

// Guards against a working connection that is reset because one call on it was canceled: other
// callers that share the connection would get `unknown` for requests that run normally.
func TestCanceledCallOnWorkingConnectionDoesNotEndOthers(t *testing.T) {
	e := &slowEcho{entered: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Register("Echo", e))
	go s.Serve()
	release := sync.OnceFunc(func() { close(e.release) })
	// Server.Close waits for running calls.
	defer release()
	c := NewRequestClient(s.Addr(), 1)
	defer c.Close()
	var out string
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(t.Context(), "Echo.Late", "late", &out) }()
	<-e.entered
	first := current(c)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = c.Call(ctx, "Echo.Say", "x", new(string))
	require.Eventually(t, func() bool { return !c.conns[0].deliveryOf(first).probing }, maxEndWait, time.Millisecond,
		"the peer answers the probe")
	release()
	require.NoError(t, <-waiting)
	require.Equal(t, "late", out)
	require.Same(t, first, current(c), "the connection is kept")
}

func current(c *Client) *session {
	l := c.conns[0]
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Guards against a call that waits past its deadline for another call's dial to an unreachable
// VM.
func TestWaitForAnotherCallsDialEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := virtualnet.New()
		network.Cut("a", "b")
		c := NewRequestClient("b", 1)
		defer c.Close()
		var dials atomic.Int32
		c.UseDial(func(ctx context.Context, addr string) (net.Conn, error) {
			dials.Add(1)
			return network.Dial(ctx, "a", addr)
		})
		first := make(chan error, 1)
		go func() { first <- c.Call(t.Context(), "Echo.Say", "x", new(string)) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		begin := time.Now()
		require.ErrorIs(t, c.Call(ctx, "Echo.Say", "x", new(string)), ErrNotSent)
		require.Zero(t, time.Since(begin))
		require.EqualValues(t, 1, dials.Load(), "the second call waited for the dial of the first")
		require.ErrorIs(t, <-first, ErrNotSent)
	})
}

// Guards against a call that is executed shortly after its caller has got ErrLost: the cut ends
// while the connection is still being probed. If the connection already counts as silent when the
// call is canceled, it must be reset before Call returns. Before that it must be kept, because its
// calls may still be answered in time.
func TestSilentConnectionIsResetBeforeTheCallReturns(t *testing.T) {
	l, c := echoOverLink(t)
	first := current(c)
	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	callErr := make(chan error, 1)
	go func() { callErr <- c.Call(ctx, "Echo.Say", "y", new(string)) }()
	require.Eventually(t, func() bool { return c.conns[0].deliveryOf(first).silent }, maxEndWait, time.Millisecond)
	require.Same(t, first, current(c), "a silent connection is kept until a call on it is canceled")
	cancel()
	require.ErrorIs(t, <-callErr, ErrLost)
	require.Nil(t, current(c), "Call returned while the call may still arrive")
	l.AwaitEnded()
}
