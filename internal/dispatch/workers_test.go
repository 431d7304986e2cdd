package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Attempts hang at a frozen target. If other attempts waited for their goroutines, one frozen
// target would block the whole pool.
func TestWorkerPoolRunsConcurrentlyAndStopsIdleGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, started := newWorkerPool(), 0
		release, done := make(chan struct{}), make(chan struct{}, 3)
		for range 3 {
			p.run(ctx, func() {
				<-release
				done <- struct{}{}
			})
		}
		synctest.Wait()
		close(release)
		for range 3 {
			<-done
		}
		synctest.Wait()
		// Idle goroutines take the next work, and end after workerIdleTimeout.
		p.run(ctx, func() { started++ })
		synctest.Wait()
		require.Equal(t, 1, started)
		time.Sleep(2 * workerIdleTimeout)
		select {
		case p.work <- func() { started++ }:
			t.Fatal("an idle goroutine has not ended")
		default:
		}
		p.run(ctx, func() { started++ })
		synctest.Wait()
		require.Equal(t, 2, started)
	})
}
