// Package balance chooses the target of a pool for a request.
//
// In a pool one server may be ten times slower than the rest, another may refuse
// connections, and a third may wrongly report that it is idle and healthy. Without
// measurements each would get an equal share of the requests, and a tenth of all callers
// would wait ten times as long. A choice by what targets report would send everything
// to the one with the wrong report.
//
// The score of a target is its requests in flight times its measured slowness, which is
// the ratio of its service times to those of such requests in the pool. The load that a
// target reports only decides between equal scores, so a wrong report wins a tie at
// most. A slow target is used if waiting for a better one would take even longer, and is
// probed from time to time to see whether it has recovered. A target whose connection
// failed gets a back-off, which doubles up to a bound. A target that is leaving gets no
// requests.
//
// For equal servers the choice by least requests in flight is within a few percent of
// the optimum. Slowness is a geometric moving mean over about 4 answers, so that one
// long request among short ones does not make its target count as slow: a request that
// takes 100 times as long changes the slowness by a factor of about 3, while a target
// that is 10 times slower is detected after about 4 answers. Exponential service times
// have a geometric mean of 0.56 of the mean and a standard deviation of 0.48 (natural
// logarithm) over 4 answers, so the threshold of 3 is 3.5 deviations away. At one probe
// per second, a pool of 10 targets and a thousand requests per second spends one request
// in a thousand on probes.
package balance

import (
	"math"
	"time"
)

const (
	// slownessSamples is the number of answers over which slowness is averaged.
	slownessSamples = 4
	// slowAbove is the slowness above which a target counts as slow, slowBelow the
	// slowness below which it no longer does. The gap between them prevents flapping
	// due to random variation.
	slowAbove = 3.0
	slowBelow = 1.5
	// probeInterval is the least time between probes of a slow target.
	probeInterval = time.Second
	// minBackoff and maxBackoff bound the back-off after failed connections. With two
	// or three attempts per second, a target that can be reached again is found in
	// less than the second that callers would notice.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// leavingTimeout is how long a target that refused a request as leaving gets no
	// requests; after that, only its health endpoint counts.
	leavingTimeout = 5 * time.Second
)

// Target is the load and the measurements of one target. The zero value is a new target.
type Target struct {
	// InFlight is the number of requests sent to the target and not yet answered.
	InFlight int
	// Limit is the bound on InFlight.
	Limit int
	// Hint is the number of running requests that the target reports.
	Hint int
	// HintLeaving reports whether the health endpoint says that the target is leaving.
	HintLeaving bool

	// logRatio is the moving mean of the logarithm of measured over expected time.
	logRatio     float64
	slow         bool
	lastProbe    time.Time
	failures     int
	backoffUntil time.Time
	leavingUntil time.Time
}

// Slowness returns the mean ratio of measured to expected service times, 1 for a new target.
func (t *Target) Slowness() float64 { return math.Exp(t.logRatio) }

// Slow reports whether the target counts as slow.
func (t *Target) Slow() bool { return t.slow }

// Sent records that a request was sent to the target.
func (t *Target) Sent(now time.Time) {
	t.InFlight++
	if t.slow {
		t.lastProbe = now
	}
}

// Answered records an answer and ends the target's back-off.
func (t *Target) Answered(took, expected time.Duration) {
	t.failures = 0
	t.backoffUntil = time.Time{}
	t.measure(took, expected)
}

// Overdue records a request that was given up after running for the given time. Without
// it a frozen target, which sends no answers to measure, would not count as slow.
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

// Failed records a connection that failed or broke, and returns the length of the
// target's back-off.
func (t *Target) Failed(now time.Time) time.Duration {
	backoff := min(time.Duration(float64(minBackoff)*math.Pow(2, float64(min(t.failures, 16)))), maxBackoff)
	t.failures++
	t.backoffUntil = now.Add(backoff)
	return backoff
}

// RefusedLeaving records that the target refused a request because it is leaving.
func (t *Target) RefusedLeaving(now time.Time) { t.leavingUntil = now.Add(leavingTimeout) }

// Returned records that a target that was leaving reports that it serves again.
func (t *Target) Returned() { t.leavingUntil = time.Time{} }

// Serves reports whether the target may get requests: it is not in back-off and has not
// recently refused a request as leaving.
func (t *Target) Serves(now time.Time) bool {
	return !now.Before(t.backoffUntil) && !now.Before(t.leavingUntil)
}

// ServesFrom returns the time from which the target may get requests again. It is in the
// past for a target that serves.
func (t *Target) ServesFrom() time.Time {
	if t.leavingUntil.After(t.backoffUntil) {
		return t.leavingUntil
	}
	return t.backoffUntil
}

// Leaving reports whether the target said that it is leaving, by a refusal or at its health
// endpoint.
func (t *Target) Leaving(now time.Time) bool { return t.HintLeaving || now.Before(t.leavingUntil) }

// hasFreeSlot reports whether the target can get a request at once. After a failed
// connection only one request at a time is sent to it, instead of one for each slot.
func (t *Target) hasFreeSlot(now time.Time) bool {
	limit := t.Limit
	if t.failures > 0 {
		limit = 1
	}
	return t.Serves(now) && t.InFlight < limit
}

// Choice is the input for one choice of a target.
type Choice struct {
	Now time.Time
	// Avoid is the index of the target that was tried before, -1 for none.
	Avoid int
	// Wait is how long the request would wait for a slot of a target that is not
	// slow, Service how long it would then take there.
	Wait, Service time.Duration
}

// Choose returns the index of the best target with a free slot, or -1 for none. A target
// whose health endpoint says that it is leaving is used only if all that serve say so: the
// endpoint may be wrong, and having no target would be worse. Slow targets are avoided only
// while another one serves.
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

// worthUsing reports whether to send a request to the target although a target that is not
// slow serves: it is not slow, is due for a probe, or is faster than waiting for another.
func (c Choice) worthUsing(t *Target) bool {
	if !t.Slow() || c.probeDue(t) {
		return true
	}
	slow := time.Duration(float64(c.Service) * t.Slowness())
	return slow < c.Wait+c.Service
}

// probeDue reports whether a slow target is due for a probe.
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

// score returns the time that one more request would take at the target, in service times.
// The slowness of a target that does not count as slow is ignored as random variation.
func score(t *Target) float64 {
	slowness := 1.0
	if t.Slow() {
		slowness = t.Slowness()
	}
	return float64(t.InFlight+1) * slowness
}
