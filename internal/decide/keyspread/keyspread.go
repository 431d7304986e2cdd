// Package keyspread decides which ranges of keys should move to another owner, and
// which should be divided, from the measured load of each range.
//
// Busy keys are often adjacent and change within seconds, so that one owner gets
// several times its capacity while others are idle.
//
// The load of an owner is the request rate for its keys divided by its capacity. The
// most loaded owner gives up ranges, each to the owner that will have the least load
// with it, as long as the move is a gain. A range that is too hot for any owner is
// divided at the key that halves its load. A single key cannot be divided; instead all
// other ranges move away from its owner.
//
// A key that is too hot for any owner stays where it is, unless another owner is faster
// by more than the measurement error, because an overloaded owner is measured as slow.
//
// Requests for a range wait while it moves, so nothing moves from an owner whose load is
// below busyLoad, nor for a gain below minGain.
package keyspread

import (
	"math"
	"slices"
)

const (
	// busyLoad is the load from which an owner gives up ranges; below it, requests
	// seldom wait for each other.
	busyLoad = 0.55
	// overloadedFrom is the load from which requests wait longer than they run.
	overloadedFrom = 0.8
	// maxFillLoad is the load up to which an owner may get ranges only to even out
	// their number. It is well below busyLoad, so that the owner need not give them up
	// again.
	maxFillLoad = 0.3
	// minGain is by how much a move must reduce the higher load of the two owners. If
	// the range would overload its new owner, too, the least gain is overloadGainShare
	// of the old owner's load: a full target is slower by a fifth, and loads are
	// measured to about a tenth.
	minGain           = 0.08
	overloadGainShare = 0.3
	// minDivideShare is the share of an owner's capacity above which a range is
	// divided rather than moved as a whole.
	minDivideShare = 0.25
	// defaultChanges bounds the moves of one decision, and its divisions.
	defaultChanges = 12
)

// Bounds bound the changes of one decision. Each move makes requests wait, and each division adds a range that is
// renewed by a call of its own. Moves beyond defaultChanges only relieve owners above overloadedFrom: where requests
// merely queue, moving many keys at once costs more than it gains.
type Bounds struct{ Moves, Divides int }

// DefaultBounds returns the bounds of Decide.
func DefaultBounds() Bounds { return Bounds{Moves: defaultChanges, Divides: defaultChanges} }

// Range is a range of keys with its owner and load.
type Range struct {
	// Owner is the index of the owner.
	Owner int
	// Rate is the requests per second for the keys of the range.
	Rate float64
	// Fixed reports whether the range is being moved, or cannot be moved now.
	Fixed bool
	// Divisible reports whether more than one key of the range has load.
	Divisible bool
}

// Move assigns a range, by index, to another owner.
type Move struct{ Range, To int }

// Decision is a set of changes to make.
type Decision struct {
	Moves []Move
	// Divide are the indices of ranges to divide before the next decision.
	Divide []int
}

// Loads returns the load of each owner, as a multiple of its capacity.
func Loads(ranges []Range, capacity []float64) []float64 {
	load := make([]float64, len(capacity))
	for _, r := range ranges {
		if r.Owner >= 0 {
			load[r.Owner] += r.Rate / capacity[r.Owner]
		}
	}
	return load
}

// Busy reports whether the load of an owner is too high for it to get ranges only to even
// out their number.
func Busy(load float64) bool { return load > maxFillLoad }

// Decide returns the changes to make. capacity is the requests per second that each
// owner can serve.
func Decide(ranges []Range, capacity []float64) Decision {
	return DecideRelieving(ranges, capacity, make([]bool, len(capacity)))
}

// DecideRelieving is Decide if some owners must be relieved: their capacity is what they ask for, far below what
// they can serve. They get no ranges, and give up whole ranges rather than divided ones: a part that is hot for them
// is not for the others.
func DecideRelieving(ranges []Range, capacity []float64, relieve []bool) Decision {
	return DecideWithin(ranges, capacity, relieve, DefaultBounds())
}

// DecideWithin is DecideRelieving with other bounds.
func DecideWithin(ranges []Range, capacity []float64, relieve []bool, b Bounds) Decision {
	p := plan{ranges: slices.Clone(ranges), capacity: capacity, relieve: relieve, load: Loads(ranges, capacity)}
	for len(p.decision.Moves) < b.Moves && len(p.decision.Divide) < b.Divides && p.step() {
	}
	return p.decision
}

type plan struct {
	ranges    []Range
	capacity  []float64
	relieve   []bool
	load      []float64
	exhausted []int
	decision  Decision
}

// step adds one change to the decision, or excludes an owner that can give up nothing.
// It returns false if no owner is left.
func (p *plan) step() bool {
	from := p.mostLoaded()
	if from < 0 {
		return false
	}
	best, to, gain := -1, -1, minGain
	for i, r := range p.ranges {
		if r.Owner != from || r.Fixed || r.Rate == 0 {
			continue
		}
		target := p.leastLoadedWith(r.Rate, from)
		if target < 0 {
			continue
		}
		if g := p.gain(r.Rate, from, target); g > max(gain, p.minGainFor(r.Rate, from, target)) {
			best, to, gain = i, target, g
		}
	}
	hot := p.hottestRange(from)
	if hot >= 0 && (!p.relieve[from] || best < 0) && p.ranges[hot].Rate/p.capacity[from] > minDivideShare && (best < 0 || best == hot) && p.divisionHelps(hot) {
		p.ranges[hot].Fixed = true
		p.decision.Divide = append(p.decision.Divide, hot)
		return true
	}
	if best < 0 {
		p.exhausted = append(p.exhausted, from)
		return true
	}
	p.move(best, to)
	return true
}

// divisionHelps reports whether it would be a gain to move half of the range to another
// owner. If all owners are overloaded, no move helps, and the divided ranges only need
// more renewals.
func (p *plan) divisionHelps(i int) bool {
	r := p.ranges[i]
	to := p.leastLoadedWith(r.Rate/2, r.Owner)
	return to >= 0 && p.gain(r.Rate/2, r.Owner, to) > minGain
}

// mostLoaded returns the most loaded busy owner that may still give up ranges, -1 for none.
func (p *plan) mostLoaded() int {
	best, least := -1, busyLoad
	if len(p.decision.Moves) >= defaultChanges {
		least = overloadedFrom
	}
	for i, l := range p.load {
		if l < least || slices.Contains(p.exhausted, i) {
			continue
		}
		if best < 0 || l > p.load[best] {
			best = i
		}
	}
	return best
}

// hottestRange returns the divisible range of the owner with the most load, -1 for none.
func (p *plan) hottestRange(owner int) int {
	best := -1
	for i, r := range p.ranges {
		if r.Owner == owner && !r.Fixed && r.Divisible && (best < 0 || r.Rate > p.ranges[best].Rate) {
			best = i
		}
	}
	return best
}

// leastLoadedWith returns the owner other than from that would have the least load after
// it got this rate, -1 for none.
func (p *plan) leastLoadedWith(rate float64, from int) int {
	best, least := -1, math.Inf(1)
	for i := range p.load {
		if i == from || p.relieve[i] {
			continue
		}
		if l := p.load[i] + rate/p.capacity[i]; l < least {
			best, least = i, l
		}
	}
	return best
}

// minGainFor returns the least gain for which a range of this rate moves.
func (p *plan) minGainFor(rate float64, from, to int) float64 {
	if p.load[to]+rate/p.capacity[to] < 1 {
		return minGain
	}
	return max(minGain, overloadGainShare*p.load[from])
}

// gain returns by how much the move reduces the higher load of the two owners.
func (p *plan) gain(rate float64, from, to int) float64 {
	before := max(p.load[from], p.load[to])
	after := max(p.load[from]-rate/p.capacity[from], p.load[to]+rate/p.capacity[to])
	return before - after
}

func (p *plan) move(i, to int) {
	r := &p.ranges[i]
	p.load[r.Owner] -= r.Rate / p.capacity[r.Owner]
	p.load[to] += r.Rate / p.capacity[to]
	r.Owner, r.Fixed = to, true
	p.decision.Moves = append(p.decision.Moves, Move{Range: i, To: to})
}
