// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false once ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
