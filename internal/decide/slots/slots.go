// Package slots adapts how many requests a target is given at a time, and keeps
// slots free for short requests.
//
// Load pattern: a target has less room than its service object says, since others
// use it too, it starts cold or is short of memory; it sheds what comes over, or
// answers ever later. Without adaption the same request is sent and shed again and
// again, and each shed costs a round trip and a slot of somebody else's time. And:
// long jobs among short ones take every slot, and the short ones wait for seconds.
//
// The limit falls by a third on a shed and returns by half a request for each
// limit's worth of good answers. Answers that are slow on the whole lower it to
// half of the slots at most: a target may be slow for reasons of its own, and then
// fewer requests at a time make it no faster and the pool smaller.
//
// Grounds: multiplicative decrease and additive increase settle fairly where two
// dispatchers fill one target for a moment. Sheds come in clusters, a request in
// flight each, so one cut in 100 ms is one for each cluster. With 2 or 3 slots the
// way back from 1 takes about 12 answers, 60 ms of a target's time.
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

// Limit is the adaptive number in flight at one target.
type Limit struct {
	value   float64
	lastCut time.Time
}

// Value returns how many requests may be in flight, 1 to full.
func (l *Limit) Value(full int) int {
	if l.value == 0 || l.value > float64(full) {
		l.value = float64(full)
	}
	return max(int(math.Floor(l.value+epsilon)), 1)
}

// epsilon keeps sums such as 2.9999 from costing a slot.
const epsilon = 1e-6

// OnShed notes that the target had no room.
func (l *Limit) OnShed(now time.Time, full int) { l.decrease(now, full, shedFactor, 1) }

// OnAnswer notes an answer; slow says that the target's answers take far longer
// than expected on the whole.
func (l *Limit) OnAnswer(now time.Time, full int, slow bool) {
	if slow {
		l.decrease(now, full, slowFactor, math.Ceil(float64(full)/2))
		return
	}
	l.Value(full)
	l.value = min(l.value+increaseStep/l.value, float64(full))
}

func (l *Limit) decrease(now time.Time, full int, factor, lowest float64) {
	l.Value(full)
	if now.Sub(l.lastCut) < minCutInterval {
		return
	}
	l.lastCut = now
	l.value = max(l.value*factor, min(lowest, l.value))
}

// reservedForShort of the slots, one at least, is kept free of long jobs.
const reservedForShort = 0.1

// MaxLongJobs returns how many long jobs may run at a time on so many slots. A
// single slot must serve both.
func MaxLongJobs(total int) int {
	if total <= 1 {
		return 1
	}
	return total - max(int(math.Ceil(reservedForShort*float64(total))), 1)
}
