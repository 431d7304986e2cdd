// Package slots adapts the number of requests in flight at a target, and reserves slots
// for short requests.
//
// Load pattern: a target has less capacity than its service object says, because others
// use it too, it has just started or it is short of memory. It sheds excess requests or
// answers more and more slowly. Without adaptation the same request is sent and shed
// repeatedly, and each shed costs a round trip and slot time that others could use.
// A second pattern is long jobs among short ones: they occupy every slot, and the short
// ones wait for seconds.
//
// The limit is lowered by a third when the target sheds a request, and raised by half a
// request for each limit's worth of good answers. If answers are slow overall, the limit
// is lowered too, but not below half of the slots: the target may be slow for reasons
// other than load, and then fewer concurrent requests would not make it faster but would
// make the pool smaller.
//
// Rationale: additive increase and multiplicative decrease converge to a fair division
// where two dispatchers fill one target for a moment. Sheds come in clusters, one for each
// request in flight, so at most one decrease in 100 ms means one per cluster. With 2 or 3
// slots, recovery from a limit of 1 takes about 12 answers, 60 ms of a target's time.
package slots

import (
	"math"
	"time"
)

const (
	shedFactor     = 2.0 / 3
	slowFactor     = 0.9
	minCutInterval = 100 * time.Millisecond
	increaseStep   = 0.5
)

// Limit is the adaptive limit on requests in flight at one target. The zero value starts
// at the target's capacity.
type Limit struct {
	value   float64
	lastCut time.Time
}

// Value returns how many requests may be in flight, from 1 to capacity.
func (l *Limit) Value(capacity int) int {
	if l.value == 0 || l.value > float64(capacity) {
		l.value = float64(capacity)
	}
	return max(int(math.Floor(l.value+epsilon)), 1)
}

// epsilon absorbs floating-point error, so that 2.9999999 counts as 3 slots.
const epsilon = 1e-6

// OnShed lowers the limit after the target has shed a request.
func (l *Limit) OnShed(now time.Time, capacity int) { l.decrease(now, capacity, shedFactor, 1) }

// OnAnswer adjusts the limit after an answer. slow reports that the target's answers
// overall take far longer than expected.
func (l *Limit) OnAnswer(now time.Time, capacity int, slow bool) {
	if slow {
		l.decrease(now, capacity, slowFactor, math.Ceil(float64(capacity)/2))
		return
	}
	l.Value(capacity)
	l.value = min(l.value+increaseStep/l.value, float64(capacity))
}

// decrease multiplies the limit by factor, but not to below lowest, at most once per
// minCutInterval.
func (l *Limit) decrease(now time.Time, capacity int, factor, lowest float64) {
	l.Value(capacity)
	if now.Sub(l.lastCut) < minCutInterval {
		return
	}
	l.lastCut = now
	l.value = max(l.value*factor, min(lowest, l.value))
}

// reservedForShort is the fraction of the slots that long jobs may not use, rounded up to
// whole slots.
const reservedForShort = 0.1

// MaxLongJobs returns how many of the slots in total long jobs may occupy at a time. A
// single slot is shared by long and short jobs.
func MaxLongJobs(total int) int {
	if total <= 1 {
		return 1
	}
	return total - max(int(math.Ceil(reservedForShort*float64(total))), 1)
}
