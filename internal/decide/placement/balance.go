package placement

import (
	"cmp"
	"fmt"
	"slices"

	"hemlockquay/internal/decide/loadmeter"
	"hemlockquay/internal/model"
)

// Bounds on moves in progress, towards one target and in total. A target that gets a
// group has cold caches for its keys; two groups at a time are at most a third of the
// usual six groups of a target.
const (
	maxMovesPerTarget  = 2
	maxConcurrentMoves = 6
)

// evenShare is the extra load that every group is assumed to have, as a share of the
// mean load of a group. It spreads groups without load by number.
const evenShare = 0.1

// standbyGainRatio is the share of the least loaded target's gain from which the
// standby is preferred to it: a move to the standby needs no new pair and thus one
// epoch less.
const standbyGainRatio = 0.7

// loads is the load of each group, and of each usable target after the moves in progress.
type loads struct {
	group  map[uint64]float64
	target map[string]float64
	mean   float64
}

func (r *round) measureLoads() loads {
	l := loads{group: make(map[uint64]float64, len(r.next.Groups)), target: make(map[string]float64)}
	var total float64
	for i := range r.next.Groups {
		total += r.in.Load[r.next.Groups[i].ID]
	}
	prior := evenShare * total / float64(len(r.next.Groups))
	if total == 0 {
		prior = 1
	}
	names := r.eligible
	for _, n := range names {
		l.target[n] = 0
	}
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		load := r.in.Load[g.ID] + prior
		l.group[g.ID] = load
		l.mean += load / float64(max(len(names), 1))
		if to := r.destination(g); r.usable(to) {
			l.target[to] += load
		}
	}
	return l
}

// warmUp is how long load figures are collected before they may cause a move: the
// time constant of the meters. With the first dozen requests alone, one target may
// appear to have nine times the mean load.
const warmUp = loadmeter.TimeConstant

// warmedUp reports whether the load figures may cause moves. Without any load, groups
// are spread by number, which needs no warm-up.
func (r *round) warmedUp() bool {
	if !r.loadKnown && len(r.in.Load) > 0 {
		r.loadKnown, r.loadSince = true, r.in.Now
	}
	return !r.loadKnown || r.in.Now-r.loadSince >= warmUp
}

// balance starts moves as long as one is worth its cost and the budget allows it.
func (r *round) balance() {
	r.budget.refill(r.in.Now, r.policy.Churn*float64(len(r.next.Groups)))
	if !r.warmedUp() || !r.in.Service.ChecksFences || len(r.next.Groups) == 0 {
		return
	}
	for len(r.moves) < maxConcurrentMoves {
		l := r.measureLoads()
		best := r.bestMove(&l)
		if best == nil || !r.budget.take() {
			return
		}
		r.startMove(best.group, best.to, fmt.Sprintf("load of %.2f times the mean against %.2f times, gain %.3f",
			l.target[best.group.Owner.Name]/l.mean, l.target[best.to]/l.mean, best.gain))
	}
}

// candidateMove is a possible move with its gain.
type candidateMove struct {
	group *model.Group
	to    string
	gain  float64
}

// bestMove returns the move of highest gain away from a target above the band, or to a
// target below the band from one above the mean. It returns nil if no move is worth its
// cost.
func (r *round) bestMove(l *loads) *candidateMove {
	to := r.leastLoaded(l)
	if to == "" || l.mean == 0 {
		return nil
	}
	cold := l.target[to] < l.mean*(1-r.policy.Band)
	least := r.policy.Gain * float64(len(r.eligible)) / float64(len(r.next.Groups))
	var best *candidateMove
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		from := l.target[g.Owner.Name]
		if !r.movable(g) || !cold && from <= l.mean*(1+r.policy.Band) || cold && from <= l.mean {
			continue
		}
		o := r.chooseTarget(l, g, to)
		if o.gain >= least && (best == nil || better(o, best)) {
			best = &o
		}
	}
	return best
}

func better(a candidateMove, b *candidateMove) bool {
	return cmp.Or(cmp.Compare(a.gain, b.gain), cmp.Compare(b.group.ID, a.group.ID)) > 0
}

// chooseTarget returns the move of the group to the least loaded target or to its
// standby; see standbyGainRatio.
func (r *round) chooseTarget(l *loads, g *model.Group, leastLoaded string) candidateMove {
	o := candidateMove{group: g, to: leastLoaded, gain: l.gain(g, leastLoaded)}
	standby := g.Standby.Name
	if !r.usable(standby) || r.incomingMoves(standby) >= maxMovesPerTarget {
		return o
	}
	if gain := l.gain(g, standby); gain >= standbyGainRatio*o.gain {
		return candidateMove{group: g, to: standby, gain: gain}
	}
	return o
}

// gain returns the decrease of the sum of squared loads, divided by the squared mean.
// It is negative if the move would only reverse the imbalance.
func (l *loads) gain(g *model.Group, to string) float64 {
	load := l.group[g.ID]
	return 2 * load * (l.target[g.Owner.Name] - l.target[to] - load) / (l.mean * l.mean)
}

func (r *round) movable(g *model.Group) bool {
	return r.moves[g.ID] == nil && g.MoveTo == "" && !r.changed[g.ID] && r.usable(g.Owner.Name)
}

// leastLoaded returns the eligible target of the lowest load that has fewer than
// maxMovesPerTarget incoming moves, "" for none.
func (r *round) leastLoaded(l *loads) string {
	names := slices.DeleteFunc(slices.Clone(r.eligible), func(n string) bool { return r.incomingMoves(n) >= maxMovesPerTarget })
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.target[a], l.target[b]), cmp.Compare(a, b))
	})
}

func (r *round) incomingMoves(target string) int {
	n := 0
	for _, m := range r.moves {
		if m.to == target {
			n++
		}
	}
	return n
}
