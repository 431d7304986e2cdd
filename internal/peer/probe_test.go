package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link"
	"hemlockquay/internal/standin/link/linktest"
)

type diary struct{ booked atomic.Int32 }

func (d *diary) Book(_ string, _ *string) error { d.booked.Add(1); return nil }
func (d *diary) Say(in string, out *string) error {
	*out = in
	return nil
}

// maxEndWait bounds the wait for the end of a connection that ought to be ended. It is
// reached only where the test fails anyway.
const maxEndWait = 8 * time.Second

// A caller is told that its booking may have run; it looks, finds none, books again, and has
// two. The way between two VMs is cut, and the call that carries the booking is given up at its
// deadline. Its connection is shared and stays open, so that the system delivers the call as
// the cut ends, and the other VM carries it out seconds after its caller has left.
func TestTimedOutCallIsNotExecutedAfterACut(t *testing.T) {
	d := new(diary)
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Register("Diary", d))
	go func() { _ = s.Serve() }()
	l := linktest.To(t, s.Addr())
	c := NewRequestClient(l.Addr(), 1)
	defer c.Close()
	var out string
	require.NoError(t, c.Call(t.Context(), "Diary.Say", "x", &out), "the link carries the connection")

	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	given := make(chan error, 1)
	go func() { given <- c.Call(ctx, "Diary.Book", "late", new(string)) }()
	l.AwaitHeld()
	cancel()
	require.ErrorIs(t, <-given, ErrLost, "it may have run before the cut")
	awaitEnded(l)
	l.Heal()
	require.NoError(t, c.Call(t.Context(), "Diary.Say", "y", &out), "calls after the cut get through")
	c.Close()
	l.Drain()
	// The server ends only after the calls that it has read.
	s.Close()
	require.Zero(t, d.booked.Load(), "it was carried out after it was given up")
}

// echoOverLink returns a client of requests, and the link that carries its connection.
func echoOverLink(t *testing.T) (*link.Link, *Client) {
	s := serve(t, "127.0.0.1:0", &echo{})
	t.Cleanup(s.Close)
	l := linktest.To(t, s.Addr())
	c := NewRequestClient(l.Addr(), 1)
	t.Cleanup(c.Close)
	require.NoError(t, c.Call(t.Context(), "Echo.Say", "x", new(string)), "the link carries the connection")
	return l, c
}

// awaitEnded waits until the sender of what the cut link holds has ended its connection, or
// until it is clear that it does not.
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

// A caller is told that its booking did not run, and it did. In a cut another caller's call on
// the same connection is given up, and the connection ends under the booking that waits.
func TestPendingCallOnSilentConnectionIsReportedLost(t *testing.T) {
	l, c := echoOverLink(t)
	l.Cut()
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(t.Context(), "Echo.Say", "y", new(string)) }()
	l.AwaitHeld()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.Call(ctx, "Echo.Say", "z", new(string)), ErrLost)
	err := <-waiting
	require.ErrorIs(t, err, ErrLost)
	require.NotErrorIs(t, err, ErrNotSent)
}

// Callers get `unknown` for requests that were going well: another caller's call to the same VM
// takes long and is given up, and the connection that they share is ended though it is whole.
func TestCanceledCallOnWorkingConnectionDoesNotEndOthers(t *testing.T) {
	e := &slowEcho{entered: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Register("Echo", e))
	go func() { _ = s.Serve() }()
	release := sync.OnceFunc(func() { close(e.release) })
	// The server ends only after its calls.
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

// A caller gets its answer long after its deadline: the VM that its call goes to is cut off, and
// the call waits behind another one's dial.
func TestWaitForAnotherCallsDialEndsWithTheContext(t *testing.T) {
	c := NewRequestClient("127.0.0.1:1", 1)
	defer c.Close()
	c.conns[0].dialing <- struct{}{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.Call(ctx, "Echo.Say", "x", new(string)), ErrNotSent)
}

// A caller is told that its booking may have run, looks at once and finds none; then the cut
// ends, and the booking is carried out while the connection is still being probed. Where the
// silence lasted long enough before the deadline, the connection ends before the caller is told.
// Until a call is given up it stays, since the calls on it may yet be answered in time.
func TestSilentConnectionIsResetBeforeTheCallReturns(t *testing.T) {
	l, c := echoOverLink(t)
	first := current(c)
	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	given := make(chan error, 1)
	go func() { given <- c.Call(ctx, "Echo.Say", "y", new(string)) }()
	require.Eventually(t, func() bool { return c.conns[0].deliveryOf(first).silent }, maxEndWait, time.Millisecond)
	require.Same(t, first, current(c), "nobody gave up yet")
	cancel()
	require.ErrorIs(t, <-given, ErrLost)
	require.Nil(t, current(c), "the caller was told while its call may still arrive")
	l.AwaitEnded()
}
