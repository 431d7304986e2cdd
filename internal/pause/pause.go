// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits and returns true, or false when the context ends first.
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
