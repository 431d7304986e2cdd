// Package balance chooses the target of a pool for a request.
//
// Load pattern: one server of a pool is ten times slower than the rest, another
// refuses connections, a third says on its load endpoint that it is idle and on
// its health endpoint that it is well. Without a choice by what was measured, each
// gets its even share, and a tenth of all callers wait ten times as long; a choice
// by what targets say sends everything to the one that lies.
//
// A target is scored by its requests in flight, times its measured slowness: the
// ratio of its service times to what such requests take in the pool. What it says
// of its load only decides between equal scores, so a lie wins a tie at most. A
// slow target is used where waiting for a better one would take longer still, and
// is tried now and then to see whether it recovered. One whose connection failed
// rests, doubling up to a bound. One that leaves gets nothing.
//
// Grounds: least in flight is within a few percent of the best possible for equal
// servers. Slowness is a geometric mean over the last 4 answers, since one long job
// among short ones must not condemn its target: a job 100 times longer moves it by
// a factor of 3 at most, while a target 10 times slower is found after about 4
// answers. Exponential service times have a geometric mean of 0.56 of the mean and
// a deviation of 0.48 (natural logarithm) over 4 answers, so 3 is 3.5 deviations
// away. A trial a second on 10 targets of a thousand requests a second costs one
// request in a thousand.
package balance

import (
	"math"
	"time"
)

const (
	// slownessSamples is how many answers the slowness reaches over.
	slownessSamples = 4
	// slowAbove is the slowness from which a target is avoided, slowBelow the
	// one from which it is no more; the gap keeps chance from flapping.
	slowAbove = 3.0
	slowBelow = 1.5
	// probeInterval is the least time between two trials of a slow target.
	probeInterval = time.Second
	// minBackoff and restMost bound the rest after failed connections. A target
	// that is back is found within the second that callers may notice, at two
	// or three trials a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// leavingTimeout is how long a target that refused as leaving gets nothing,
	// unless its health endpoint says so again.
	leavingTimeout = 5 * time.Second
)

// Target is what is known of one target. The zero value is a new target.
type Target struct {
	// InFlight counts the requests on their way.
	InFlight int
	// Limit is how many may be.
	Limit int
	// Hint is how many requests it says to run.
	Hint int
	// HintLeaving is what its health endpoint says.
	HintLeaving bool

	// logRatio is the moving mean of the logarithm of measured to expected.
	logRatio     float64
	slow         bool
	lastProbe    time.Time
	failures     int
	backoffUntil time.Time
	leavingUntil time.Time
}

// Slowness returns the ratio of measured to expected service times, 1 at first.
func (t *Target) Slowness() float64 { return math.Exp(t.logRatio) }

// Slow reports whether the target is avoided.
func (t *Target) Slow() bool { return t.slow }

// Sent notes that a request is in flight.
func (t *Target) Sent(now time.Time) {
	t.InFlight++
	if t.slow {
		t.lastProbe = now
	}
}

// Answered notes an answer.
func (t *Target) Answered(took, expected time.Duration) {
	t.failures = 0
	t.backoffUntil = time.Time{}
	t.measure(took, expected)
}

// Overdue notes a request that was given up after so long. A frozen target gives
// no answers to measure.
func (t *Target) Overdue(running, expected time.Duration) {
	if running > expected {
		t.measure(running, expected)
	}
}

func (t *Target) measure(took, expected time.Duration) {
	ratio := float64(max(took, time.Microsecond)) / float64(max(expected, time.Microsecond))
	t.logRatio += (math.Log(ratio) - t.logRatio) / slownessSamples
	switch s := t.Slowness(); {
	case s > slowAbove:
		t.slow = true
	case s < slowBelow:
		t.slow = false
	}
}

// Failed notes a connection that failed or broke. It returns how long the target
// rests.
func (t *Target) Failed(now time.Time) time.Duration {
	rest := min(time.Duration(float64(minBackoff)*math.Pow(2, float64(min(t.failures, 16)))), maxBackoff)
	t.failures++
	t.backoffUntil = now.Add(rest)
	return rest
}

// RefusedLeaving notes that the target refused a request because it leaves.
func (t *Target) RefusedLeaving(now time.Time) { t.leavingUntil = now.Add(leavingTimeout) }

// Returned notes that a target that had left says that it is back.
func (t *Target) Returned() { t.leavingUntil = time.Time{} }

// Serves reports whether the target takes part now.
func (t *Target) Serves(now time.Time) bool {
	return !now.Before(t.backoffUntil) && !now.Before(t.leavingUntil)
}

// ServesFrom returns the end of the target's rest; in the past for one that serves.
func (t *Target) ServesFrom() time.Time {
	if t.leavingUntil.After(t.backoffUntil) {
		return t.leavingUntil
	}
	return t.backoffUntil
}

// Leaving reports whether the target said that it leaves, by a refusal or a hint.
func (t *Target) Leaving(now time.Time) bool { return t.HintLeaving || now.Before(t.leavingUntil) }

// hasFreeSlot reports whether a request can be sent at once.
// After a failed connection one request tries the target, not a slot's worth each.
func (t *Target) hasFreeSlot(now time.Time) bool {
	limit := t.Limit
	if t.failures > 0 {
		limit = 1
	}
	return t.Serves(now) && t.InFlight < limit
}

// Choice is one decision.
type Choice struct {
	Now time.Time
	// Avoid is the index of the target just tried, -1 for none.
	Avoid int
	// Wait is how long a request would wait for a slot of a target that is
	// not slow, Service how long it takes there.
	Wait, Service time.Duration
}

// Choose returns the index of the best target that has a free slot, or -1. Those
// that say they leave are used only if all that serve say so: a health endpoint
// may mislead, and no target at all would be worse.
// Slow targets are avoided only while another serves.
func Choose(targets []*Target, c Choice) int {
	hinted, quick := true, false
	for _, t := range targets {
		if !t.Serves(c.Now) {
			continue
		}
		hinted = hinted && t.HintLeaving
		quick = quick || !t.Slow() && !t.HintLeaving
	}
	best, other := -1, false
	for i, t := range targets {
		if t.HintLeaving && !hinted {
			continue
		}
		if i == c.Avoid {
			continue
		}
		if t.Serves(c.Now) && !t.Slow() {
			other = true
		}
		if !t.hasFreeSlot(c.Now) || quick && !c.worthUsing(t) {
			continue
		}
		if best < 0 || better(t, targets[best], c) {
			best = i
		}
	}
	if best < 0 && !other && c.Avoid >= 0 && c.Avoid < len(targets) && targets[c.Avoid].hasFreeSlot(c.Now) {
		best = c.Avoid
	}
	return best
}

// worthUsing reports, where a target that is not slow serves, whether a slow target is better than to wait for another.
func (c Choice) worthUsing(t *Target) bool {
	if !t.Slow() || c.probeDue(t) {
		return true
	}
	slow := time.Duration(float64(c.Service) * t.Slowness())
	return slow < c.Wait+c.Service
}

// probeDue reports whether a slow target is due to be tried.
func (c Choice) probeDue(t *Target) bool {
	return t.InFlight == 0 && c.Now.Sub(t.lastProbe) >= probeInterval
}

func better(a, b *Target, c Choice) bool {
	if x, y := a.Slow() && c.probeDue(a), b.Slow() && c.probeDue(b); x != y {
		return x
	}
	x, y := score(a), score(b)
	if x != y {
		return x < y
	}
	return a.Hint < b.Hint
}

// score is the time that a request more would take there, in service times. A
// slowness within what chance explains counts as none.
func score(t *Target) float64 {
	slowness := 1.0
	if t.Slow() {
		slowness = t.Slowness()
	}
	return float64(t.InFlight+1) * slowness
}
