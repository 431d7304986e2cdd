package stall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// virtualClock is the time of a synctest bubble, plus the time for which the VM was suspended.
type virtualClock struct {
	start     time.Time
	suspended atomic.Int64
}

// Now implements boottime.Clock.
func (c *virtualClock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load()) + time.Hour
}

func TestStallIsKnownAtOnceAndForAWhileAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &virtualClock{start: time.Now()}
		m := NewMeter(clock)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx, nil)
		time.Sleep(time.Second + Interval/2)
		require.Zero(t, m.Recent())
		clock.suspended.Store(int64(300 * time.Millisecond))
		require.InDelta(t, 300, m.Recent().Milliseconds(), 50, "before the next interval ends")
		time.Sleep(Interval)
		require.InDelta(t, 300, m.Recent().Milliseconds(), 50)
		time.Sleep(4 * Interval)
		require.InDelta(t, 300, m.Recent().Milliseconds(), 50)
		time.Sleep(4 * Interval)
		require.Zero(t, m.Recent())
	})
}

func TestNoStallBeforeTheFirstInterval(t *testing.T) {
	var none *Meter
	require.Zero(t, none.Recent())
	require.Zero(t, NewMeter(&virtualClock{start: time.Now()}).Recent())
}
