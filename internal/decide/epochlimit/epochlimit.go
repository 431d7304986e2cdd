// Package epochlimit bounds how often a group's record gets a new epoch.
//
// Each epoch makes all grantors of the group claim it anew. On overloaded VMs claims time out
// and write further epochs, which keeps the VMs overloaded and uses up the store's writes. A
// burst lets several losses in a row be repaired without a wait; the rate bounds a storm.
package epochlimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is how many epochs may follow each other without a pause.
	burst = 6
	// refillInterval is the time until one more is allowed.
	refillInterval = 2 * time.Second
)

// Limiter limits the epochs of one group.
type Limiter struct {
	epoch  uint64
	tokens *rate.Limiter
}

// New returns the limiter of a group of which no epoch was seen.
func New() *Limiter { return &Limiter{tokens: rate.NewLimiter(rate.Every(refillInterval), burst)} }

// toTime turns a reading of the monotonic clock into the library's time.
func toTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// Seen records the epoch in force, whoever wrote it. The first one seen is free.
func (l *Limiter) Seen(epoch uint64, now time.Duration) {
	if epoch <= l.epoch {
		return
	}
	if l.epoch != 0 {
		l.tokens.AllowN(toTime(now), 1)
	}
	l.epoch = epoch
}

// Allow reports whether a new epoch may be written now.
func (l *Limiter) Allow(now time.Duration) bool { return l.tokens.TokensAt(toTime(now)) >= 1 }
