package target

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link/linktest"
)

// A caller is told that its booking may have run; it looks, finds none, books again, and has
// two. A target is cut off, the booking is given up at its deadline and its connection closed;
// as the cut ends, the system delivers what was written to that connection, and the target
// runs it, beside what is sent to its slots by then.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	var ran atomic.Int32
	l := linktest.Serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderRequestID) == "late" {
			ran.Add(1)
		}
	}))
	s := NewSender(2)
	defer s.Close()
	_, err := s.Send(t.Context(), attempt(l.Addr()))
	require.NoError(t, err, "the link carries the connection")

	l.Cut()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		a := attempt(l.Addr())
		a.Request.ID = "late"
		_, err := s.Send(ctx, a)
		ended <- err
	}()
	l.AwaitHeld()
	cancel()
	err = <-ended
	require.ErrorIs(t, err, context.Canceled)
	require.NotErrorIs(t, err, ErrUnsent, "it may have run before the cut")
	s.Close()
	l.AwaitEnded()
	l.Heal()
	l.Drain()
	require.Zero(t, ran.Load(), "it ran after it was given up")
}
