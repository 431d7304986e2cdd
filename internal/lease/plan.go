package lease

import (
	"cmp"
	"math"
	"slices"
)

const (
	// moveBatch bounds how many slices are moved at a time to even the load
	// out. Each is without service for a few milliseconds and the work that runs.
	moveBatch = 16
	// fewSlices is the part of the mean below which an owner gets slices of others,
	// enoughSlices the part up to which it does. Owners that have fewer because
	// theirs are hot must be left alone: to give them cold ones and then to move
	// the hot ones away went on for as long as the load lasted.
	fewSlices    = 0.6
	enoughSlices = 0.8
)

// Reassign returns the changes that take slices from owners that are not in live,
// and deal them to those that have least. It answers the loss or leaving of a
// target: every slice without it is unavailable, so all move at once.
func Reassign(list []Slice, live []Owner) []Change {
	if len(live) == 0 {
		return nil
	}
	d := newPlanner(list, live)
	var out []Change
	for i, s := range list {
		if !d.lives(s.Owner) {
			out = append(out, Change{Slice: i, To: d.least(neighbours(list, i))})
		}
	}
	return out
}

// TargetLoad is what the load says of slices and owners.
type TargetLoad struct {
	// Moving reports whether slice i is on the move already.
	Moving func(i int) bool
	// Rate is the requests per second for slice i.
	Rate func(i int) float64
	// Busy reports whether an owner has enough to do, however few slices it has.
	Busy func(o Owner) bool
}

// Unbalanced reports whether a target has so few slices that Rebalance may bring it more: it is
// asked often, and the targetLoad costs far more than the count.
func Unbalanced(list []Slice, live []Owner) bool {
	d := newPlanner(list, live)
	few := fewSlices * float64(len(list)) / float64(len(live))
	return slices.ContainsFunc(live, func(o Owner) bool { return float64(d.count[o]) < few })
}

// Rebalance returns the changes that bring slices of the usual rate to targets that have
// far fewer than others and are not busy, such as one that has just started.
// A target may have few slices because it is slow and gave up hot ones; it must not get them back.
func Rebalance(list []Slice, live []Owner, b TargetLoad) []Change {
	if len(live) == 0 {
		return nil
	}
	d := newPlanner(list, live)
	mean := float64(len(list)) / float64(len(live))
	usual := usualRate(list, b)
	var out []Change
	var filling Owner
	for len(out) < moveBatch {
		from, to := d.extremes(b.Busy)
		has := float64(d.count[to])
		if !to.Known() || !to.SameIncarnation(filling) && has >= fewSlices*mean || has >= enoughSlices*mean || d.count[from]-d.count[to] < 2 {
			break
		}
		filling = to
		i := mostUsual(list, from, usual, b, out)
		if i < 0 {
			break
		}
		d.count[from]--
		d.count[to]++
		out = append(out, Change{Slice: i, To: to})
	}
	return out
}

// usualRate is the mean rate of the slices.
func usualRate(list []Slice, b TargetLoad) float64 {
	sum := 0.0
	for i := range list {
		sum += b.Rate(i)
	}
	return sum / float64(len(list))
}

// mostUsual returns the owner's slice whose rate is closest to the usual one, of those
// that are not on the move nor chosen already; -1 without one.
func mostUsual(list []Slice, owner Owner, usual float64, b TargetLoad, chosen []Change) int {
	best, off := -1, math.Inf(1)
	for i, s := range list {
		if !s.Owner.SameIncarnation(owner) || b.Moving(i) || slices.ContainsFunc(chosen, func(c Change) bool { return c.Slice == i }) {
			continue
		}
		if o := math.Abs(b.Rate(i) - usual); o < off {
			best, off = i, o
		}
	}
	return best
}

// planner counts the slices of the live owners.
type planner struct {
	live  []Owner
	count map[Owner]int
}

func newPlanner(list []Slice, live []Owner) *planner {
	d := &planner{live: slices.Clone(live), count: make(map[Owner]int)}
	slices.SortFunc(d.live, func(a, b Owner) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range d.live {
		d.count[o] = 0
	}
	for _, s := range list {
		if _, ok := d.count[s.Owner]; ok {
			d.count[s.Owner]++
		}
	}
	return d
}

func (d *planner) lives(o Owner) bool {
	_, ok := d.count[o]
	return ok
}

// least returns the owner with fewest slices, and counts one more for it. Owners
// of the slices beside are passed over where there is another: busy keys are
// neighbours.
func (d *planner) least(beside []Owner) Owner {
	best := -1
	for i, o := range d.live {
		if best >= 0 && d.weight(o, beside) >= d.weight(d.live[best], beside) {
			continue
		}
		best = i
	}
	d.count[d.live[best]]++
	return d.live[best]
}

func (d *planner) weight(o Owner, beside []Owner) int {
	w := d.count[o] * 2
	if slices.ContainsFunc(beside, o.SameIncarnation) {
		w++
	}
	return w
}

// extremes returns the owner with most slices, and the one with least that is not
// busy, none where all are.
func (d *planner) extremes(busy func(o Owner) bool) (most, least Owner) {
	most = d.live[0]
	for _, o := range d.live {
		if d.count[o] > d.count[most] {
			most = o
		}
		if !busy(o) && (!least.Known() || d.count[o] < d.count[least]) {
			least = o
		}
	}
	return most, least
}

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
