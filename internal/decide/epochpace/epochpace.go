// Package epochpace decides how soon a group's record may get a new epoch after
// the last one.
//
// Load pattern: agents on full machines lose sight of each other and of targets for
// a moment. A claim that did not win within its patience writes an epoch; the epoch
// makes all grantors of the group claim anew, and the asking, writing and decoding
// keeps the machines full. Without a pace the records are rewritten without end,
// long after what began it has passed, and use up the store's writes.
//
// The first epoch after a quiet time goes at once: a true loss waits for nothing.
// One that follows within the quiet time waits, each time twice as long.
//
// Grounds: 100 ms is what a claim takes on a machine that is not full; 3.2 s is the
// most, and lets a group's record change 19 times a minute; 10 s of quiet is longer
// than three losses in a row of one group need.
package epochpace

import "time"

const (
	// quiet is the time after which the pace starts afresh.
	quiet = 10 * time.Second
	// first is the wait for the second epoch, most for any.
	first = 100 * time.Millisecond
	most  = 3200 * time.Millisecond
)

// Pace is what is known of one group's epochs. The zero value has seen none.
type Pace struct {
	epoch uint64
	at    time.Duration
	// streak counts epochs that followed another within the quiet time.
	streak int
}

// Seen notes the epoch in force, whoever wrote it.
func (p *Pace) Seen(epoch uint64, now time.Duration) {
	if epoch <= p.epoch {
		return
	}
	if p.epoch != 0 && now-p.at < quiet {
		p.streak++
	} else {
		p.streak = 0
	}
	p.epoch, p.at = epoch, now
}

// May tells whether a new epoch may be written now.
func (p *Pace) May(now time.Duration) bool {
	return p.epoch == 0 || now-p.at >= p.wait()
}

func (p *Pace) wait() time.Duration {
	if p.streak == 0 {
		return 0
	}
	wait := first
	for i := 1; i < p.streak && wait < most; i++ {
		wait *= 2
	}
	return wait
}
