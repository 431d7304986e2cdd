// Package epochpace decides how soon a group's record may get a new epoch after
// the last ones.
//
// Load pattern: agents on full machines lose sight of each other and of targets for
// a moment. A claim that did not win within its patience writes an epoch; the epoch
// makes all grantors of the group claim anew, and the asking, writing and decoding
// keeps the machines full. Without a pace the records are rewritten without end,
// long after what began it has passed, and use up the store's writes.
//
// A few epochs in a row go at once; those of a group that gets them without end wait
// for the rate.
//
// Grounds: a loss, the return of what was lost and the loss of its successor take an
// epoch or two each, so a burst of six lets three losses in a row wait for nothing. A
// wait that doubles from the second epoch on would cost true losses up to 3 s. One in
// two seconds is what each group may take of the store in a storm.
package epochpace

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is how many epochs may follow each other at once.
	burst = 6
	// every is the time for one more.
	every = 2 * time.Second
)

// Pace is what is known of one group's epochs.
type Pace struct {
	epoch  uint64
	tokens *rate.Limiter
}

// New returns the pace of a group of which no epoch was seen.
func New() *Pace { return &Pace{tokens: rate.NewLimiter(rate.Every(every), burst)} }

// instant turns a reading of the monotonic clock into the library's time.
func instant(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// Seen notes the epoch in force, whoever wrote it. The first one seen is free.
func (p *Pace) Seen(epoch uint64, now time.Duration) {
	if epoch <= p.epoch {
		return
	}
	if p.epoch != 0 {
		p.tokens.AllowN(instant(now), 1)
	}
	p.epoch = epoch
}

// May tells whether a new epoch may be written now.
func (p *Pace) May(now time.Duration) bool { return p.tokens.TokensAt(instant(now)) >= 1 }
