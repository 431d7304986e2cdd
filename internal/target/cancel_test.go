package target

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link/linktest"
)

// A request is sent to a target during a network partition and cancelled at its deadline.
// If its connection is closed without a reset, the operating system delivers the buffered
// request after the partition heals. The target then runs it late, beyond its slots, and a
// caller that found no booking and booked again has two.
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
	require.NoError(t, err, "send over the working link")

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
	require.NotErrorIs(t, err, ErrUnsent, "the request may have run before the partition")
	s.Close()
	l.AwaitEnded()
	l.Heal()
	l.Drain()
	require.Zero(t, ran.Load(), "the request ran after it was cancelled")
}
