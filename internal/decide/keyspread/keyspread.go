// Package keyspread decides which ranges of keys should have another owner, and
// which should be divided, from the measured load of each.
//
// Busy keys are neighbours and change within seconds: one owner gets several times what it can do while
// others are idle.
//
// An owner's load is the time that the requests for its keys take at its speed,
// over all its slots. The most loaded owner gives up ranges, to where they leave
// the least load, while that helps. A range that is too hot for any is divided at
// the key that halves its load. A single key cannot be divided: all others leave
// its owner.
//
// A key that is too hot for any owner stays where it is, unless another is faster by
// more than measurements err: an overloaded owner measures slow.
//
// A move costs the requests for its range a wait, so nothing moves below busyLeast, nor for less than
// gainLeast of the capacity of the owner.
package keyspread

import (
	"math"
	"slices"
)

const (
	// busyLeast is the load from which an owner gives up ranges: below it
	// requests seldom wait for each other.
	busyLeast = 0.55
	// fillMost is the load up to which an owner may get ranges only to even out
	// their number: well below busyLeast, so that it need not give them up again.
	fillMost = 0.3
	// gainLeast is by how much the higher load of the two owners must fall. Where the
	// range overloads its new owner, too, it is gainShare of the load: a target that
	// is full is slower by a fifth, and loads are measured to about a tenth.
	gainLeast = 0.08
	gainShare = 0.3
	// divideLeast is the share of an owner's capacity above which a range is
	// divided rather than moved whole.
	divideLeast = 0.25
	// movesMost bounds the moves of one decision, dividesMost the divisions.
	movesMost   = 12
	dividesMost = 12
)

// Range is a range of keys with its owner and load.
type Range struct {
	// Owner is the index of the owner.
	Owner int
	// Rate is the requests per second for its keys.
	Rate float64
	// Fixed ranges are on the move, or cannot be moved now.
	Fixed bool
	// Divisible reports whether the load has more than one key.
	Divisible bool
}

// Move gives a range another owner.
type Move struct{ Range, To int }

// Decision is what should change.
type Decision struct {
	Moves []Move
	// Divide are ranges that should be divided before more is decided.
	Divide []int
}

// Loads returns the load of each owner.
func Loads(ranges []Range, capacity []float64) []float64 {
	load := make([]float64, len(capacity))
	for _, r := range ranges {
		if r.Owner >= 0 {
			load[r.Owner] += r.Rate / capacity[r.Owner]
		}
	}
	return load
}

// Busy reports whether an owner with this load must not get ranges only to even out
// their number.
func Busy(load float64) bool { return load > fillMost }

// Decide returns the changes. capacity is how many requests a second each owner
// can do.
func Decide(ranges []Range, capacity []float64) Decision {
	p := plan{ranges: slices.Clone(ranges), capacity: capacity, load: Loads(ranges, capacity)}
	for len(p.out.Moves) < movesMost && len(p.out.Divide) < dividesMost && p.step() {
	}
	return p.out
}

type plan struct {
	ranges   []Range
	capacity []float64
	load     []float64
	spent    []int
	out      Decision
}

// step makes one change. It returns false when there is none to make.
func (p *plan) step() bool {
	from := p.hottest()
	if from < 0 {
		return false
	}
	best, to, gain := -1, -1, gainLeast
	for i, r := range p.ranges {
		if r.Owner != from || r.Fixed || r.Rate == 0 {
			continue
		}
		target := p.coolestFor(r.Rate, from)
		if target < 0 {
			continue
		}
		if g := p.gain(r.Rate, from, target); g > max(gain, p.least(r.Rate, from, target)) {
			best, to, gain = i, target, g
		}
	}
	hot := p.hottestRange(from)
	if hot >= 0 && p.ranges[hot].Rate/p.capacity[from] > divideLeast && (best < 0 || best == hot) && p.halfHelps(hot) {
		p.ranges[hot].Fixed = true
		p.out.Divide = append(p.out.Divide, hot)
		return true
	}
	if best < 0 {
		p.spent = append(p.spent, from)
		return true
	}
	p.move(best, to)
	return true
}

// halfHelps reports whether half of a range would be better at another owner.
// Where all owners are overloaded no move helps, and dividing ranges only costs renewals.
func (p *plan) halfHelps(i int) bool {
	r := p.ranges[i]
	to := p.coolestFor(r.Rate/2, r.Owner)
	return to >= 0 && p.gain(r.Rate/2, r.Owner, to) > gainLeast
}

// hottest returns the most loaded owner that may still give up something.
func (p *plan) hottest() int {
	best := -1
	for i, l := range p.load {
		if l < busyLeast || slices.Contains(p.spent, i) {
			continue
		}
		if best < 0 || l > p.load[best] {
			best = i
		}
	}
	return best
}

// hottestRange returns the range of an owner with the most load that can be
// divided.
func (p *plan) hottestRange(owner int) int {
	best := -1
	for i, r := range p.ranges {
		if r.Owner == owner && !r.Fixed && r.Divisible && (best < 0 || r.Rate > p.ranges[best].Rate) {
			best = i
		}
	}
	return best
}

// coolestFor returns the owner that would have the least load with the range.
func (p *plan) coolestFor(rate float64, from int) int {
	best, least := -1, math.Inf(1)
	for i := range p.load {
		if i == from {
			continue
		}
		if l := p.load[i] + rate/p.capacity[i]; l < least {
			best, least = i, l
		}
	}
	return best
}

// least is the gain below which the range stays.
func (p *plan) least(rate float64, from, to int) float64 {
	if p.load[to]+rate/p.capacity[to] < 1 {
		return gainLeast
	}
	return max(gainLeast, gainShare*p.load[from])
}

// gain is by how much the higher of the two loads falls.
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
	p.out.Moves = append(p.out.Moves, Move{Range: i, To: to})
}
