package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link"
)

type diary struct{ booked atomic.Int32 }

func (d *diary) Book(_ string, _ *string) error { d.booked.Add(1); return nil }
func (d *diary) Say(in string, out *string) error {
	*out = in
	return nil
}

// endsMost bounds the wait for the end of a connection that ought to be ended. It is
// reached only where the test fails anyway.
const endsMost = 8 * time.Second

// A caller is told that its booking may have run; it looks, finds none, books again, and has
// two. The way between two VMs is cut, and the call that carries the booking is given up at its
// deadline. Its connection is shared and stays open, so that the system delivers the call as
// the cut ends, and the other VM carries it out seconds after its caller has left.
func TestACallThatWasGivenUpIsNotCarriedOutAfterACut(t *testing.T) {
	d := new(diary)
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Register("Diary", d))
	go func() { _ = s.Serve() }()
	l, err := link.New(s.Addr())
	require.NoError(t, err)
	defer l.Close()
	c := NewClient(l.Addr(), 1)
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
	case <-time.After(endsMost):
	}
}
