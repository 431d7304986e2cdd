package lease

import (
	"cmp"
	"math"
	"slices"
)

const (
	// rebalanceBatch bounds how many slices are moved at a time to balance the load. Each is unavailable for
	// a few milliseconds plus the time of the work in progress.
	rebalanceBatch = 16
	// lowShare is the share of the mean number of slices per owner below which an owner gets slices from
	// others, and refillShare the share up to which it gets them. Owners that have fewer slices because
	// theirs are hot must be left alone: giving them cold slices and then moving the hot ones away went on
	// for as long as the load lasted.
	lowShare    = 0.6
	refillShare = 0.8
)

// Reassign returns the changes that take slices from owners that are not in live and give them to the
// live owners with the fewest. It is used when a target is lost or leaves: a slice without its target is
// unavailable, so all of them move at once.
func Reassign(list []Slice, live []Owner) []Change {
	if len(live) == 0 {
		return nil
	}
	p := newPlanner(list, live)
	var out []Change
	for i, s := range list {
		if !p.isLive(s.Owner) {
			out = append(out, Change{Slice: i, To: p.assignLeast(neighbours(list, i))})
		}
	}
	return out
}

// TargetLoad gives access to the load of slices and owners.
type TargetLoad struct {
	// Moving reports whether slice i is already moving.
	Moving func(i int) bool
	// Rate returns the requests per second for slice i.
	Rate func(i int) float64
	// Busy reports whether an owner has enough load, however few slices it has.
	Busy func(o Owner) bool
}

// Unbalanced reports whether a target has so few slices that Rebalance may give it more. It is called
// often, and a TargetLoad costs far more than counting slices.
func Unbalanced(list []Slice, live []Owner) bool {
	p := newPlanner(list, live)
	low := lowShare * float64(len(list)) / float64(len(live))
	return slices.ContainsFunc(live, func(o Owner) bool { return float64(p.count[o]) < low })
}

// Rebalance returns the changes that move slices of average rate to targets that have far fewer than
// others and are not busy, such as one that has just started. A target may have few slices because it is
// slow and gave up hot ones; it must not get them back.
func Rebalance(list []Slice, live []Owner, load TargetLoad) []Change {
	if len(live) == 0 {
		return nil
	}
	p := newPlanner(list, live)
	meanCount := float64(len(list)) / float64(len(live))
	mean := meanRate(list, load)
	var out []Change
	var receiver Owner
	for len(out) < rebalanceBatch {
		from, to := p.extremes(load.Busy)
		has := float64(p.count[to])
		if !to.Known() || !to.SameIncarnation(receiver) && has >= lowShare*meanCount || has >= refillShare*meanCount || p.count[from]-p.count[to] < 2 {
			break
		}
		receiver = to
		i := closestToMean(list, from, mean, load, out)
		if i < 0 {
			break
		}
		p.count[from]--
		p.count[to]++
		out = append(out, Change{Slice: i, To: to})
	}
	return out
}

// meanRate returns the mean request rate of the slices.
func meanRate(list []Slice, load TargetLoad) float64 {
	sum := 0.0
	for i := range list {
		sum += load.Rate(i)
	}
	return sum / float64(len(list))
}

// closestToMean returns the index of the owner's slice whose rate is closest to the mean, ignoring slices
// that are moving or already chosen. It returns -1 if there is none.
func closestToMean(list []Slice, owner Owner, mean float64, load TargetLoad, chosen []Change) int {
	best, distance := -1, math.Inf(1)
	for i, s := range list {
		if !s.Owner.SameIncarnation(owner) || load.Moving(i) || slices.ContainsFunc(chosen, func(c Change) bool { return c.Slice == i }) {
			continue
		}
		if d := math.Abs(load.Rate(i) - mean); d < distance {
			best, distance = i, d
		}
	}
	return best
}

// planner counts the slices of each live owner.
type planner struct {
	live  []Owner
	count map[Owner]int
}

func newPlanner(list []Slice, live []Owner) *planner {
	p := &planner{live: slices.Clone(live), count: make(map[Owner]int)}
	slices.SortFunc(p.live, func(a, b Owner) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range p.live {
		p.count[o] = 0
	}
	for _, s := range list {
		if _, ok := p.count[s.Owner]; ok {
			p.count[s.Owner]++
		}
	}
	return p
}

func (p *planner) isLive(o Owner) bool {
	_, ok := p.count[o]
	return ok
}

// assignLeast returns the owner with the fewest slices and counts one more for it. Among owners with
// equal counts it prefers one that owns no adjacent slice, as busy keys are often adjacent.
func (p *planner) assignLeast(adjacent []Owner) Owner {
	best := -1
	for i, o := range p.live {
		if best >= 0 && p.weight(o, adjacent) >= p.weight(p.live[best], adjacent) {
			continue
		}
		best = i
	}
	p.count[p.live[best]]++
	return p.live[best]
}

// weight orders owners by their number of slices, and ties by whether they own an adjacent slice.
func (p *planner) weight(o Owner, adjacent []Owner) int {
	w := p.count[o] * 2
	if slices.ContainsFunc(adjacent, o.SameIncarnation) {
		w++
	}
	return w
}

// extremes returns the owner with the most slices, and among those that are not busy the one with the
// fewest. least is not set if all are busy.
func (p *planner) extremes(busy func(o Owner) bool) (most, least Owner) {
	most = p.live[0]
	for _, o := range p.live {
		if p.count[o] > p.count[most] {
			most = o
		}
		if !busy(o) && (!least.Known() || p.count[o] < p.count[least]) {
			least = o
		}
	}
	return most, least
}

// neighbours returns the owners of the slices next to slice i.
func neighbours(list []Slice, i int) []Owner {
	var out []Owner
	if i > 0 {
		out = append(out, list[i-1].Owner)
	}
	if i+1 < len(list) {
		out = append(out, list[i+1].Owner)
	}
	return out
}
