package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Attempts hang at a target that is frozen. Were an attempt to wait for a goroutine
// that runs another, one such target would hold up all others of its pool.
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
		// Those who rest take the next work, and are gone after their rest.
		p.run(ctx, func() { started++ })
		synctest.Wait()
		require.Equal(t, 1, started)
		time.Sleep(2 * workerIdleTimeout)
		select {
		case p.work <- func() { started++ }:
			t.Fatal("a goroutine rests for ever")
		default:
		}
		p.run(ctx, func() { started++ })
		synctest.Wait()
		require.Equal(t, 2, started)
	})
}
