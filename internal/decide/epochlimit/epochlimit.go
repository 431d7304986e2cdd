// Package epochlimit limits the rate at which the record of a group gets new epochs.
//
// After each new epoch all grantors of the group have to claim it again. On overloaded VMs
// these claims time out and write further epochs, which keeps the VMs overloaded and uses
// up the write capacity of the store. The limit allows a burst, so that several losses in a
// row are repaired without delay, and bounds the rate of a sustained storm.
package epochlimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is the number of epochs that may be written without delay.
	burst = 6
	// refillInterval is the time after which one more epoch is allowed.
	refillInterval = 2 * time.Second
)

// Limiter limits the epochs of one group.
type Limiter struct {
	epoch  uint64
	tokens *rate.Limiter
}

// New returns a limiter for a group of which no epoch has been seen.
func New() *Limiter { return &Limiter{tokens: rate.NewLimiter(rate.Every(refillInterval), burst)} }

// toTime converts a reading of the monotonic clock to the time type of the rate package.
func toTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// Seen records the current epoch, no matter who wrote it. Each higher epoch uses one token,
// except the first one seen.
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
