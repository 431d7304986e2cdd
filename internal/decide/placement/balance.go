package placement

import (
	"cmp"
	"fmt"
	"slices"

	"hemlockquay/internal/decide/loadmeter"
	"hemlockquay/internal/model"
)

// Bounds on moves under way. A target that gets a group serves its keys from cold
// caches; two at a time are at most a third of a usual target's six groups.
const (
	maxTowards  = 2
	maxUnderWay = 6
)

// priorShare is the part of the load that is taken as spread evenly over the
// groups: it keeps a silent service, or one without figures, spread by number.
const priorShare = 0.1

// standbyWorth is the part of the best gain at which the standby is taken in its
// place: it needs no new pair, one epoch less.
const standbyWorth = 0.7

// loads is the load of each usable target as it will be after the moves under way.
type loads struct {
	group  map[uint64]float64
	target map[string]float64
	mean   float64
}

func (r *round) measure() loads {
	l := loads{group: make(map[uint64]float64, len(r.next.Groups)), target: make(map[string]float64)}
	var total float64
	for i := range r.next.Groups {
		total += r.in.Load[r.next.Groups[i].ID]
	}
	prior := priorShare * total / float64(len(r.next.Groups))
	if total == 0 {
		prior = 1
	}
	names := r.fit
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

// warmUp is how long figures are gathered before a move is made for them: the
// time constant of the meters.
// The first dozen requests may look like one target with nine times the mean.
const warmUp = loadmeter.TimeConstant

// warm reports whether the figures may move anything. Without any load, groups are
// spread by number at once.
func (r *round) warm() bool {
	if !r.loadKnown && len(r.in.Load) > 0 {
		r.loadKnown, r.loadSince = true, r.in.Now
	}
	return !r.loadKnown || r.in.Now-r.loadSince >= warmUp
}

// balance starts moves while one is worth its cost and the budget allows it.
func (r *round) balance() {
	r.budget.refill(r.in.Now, r.policy.Churn*float64(len(r.next.Groups)))
	if !r.warm() || !r.in.Service.ChecksFences || len(r.next.Groups) == 0 {
		return
	}
	for len(r.moves) < maxUnderWay {
		l := r.measure()
		best := r.bestMove(&l)
		if best == nil || !r.budget.take() {
			return
		}
		r.startMove(best.group, best.to, fmt.Sprintf("load %.2f of the mean against %.2f, gain %.3f",
			l.target[best.group.Owner.Name]/l.mean, l.target[best.to]/l.mean, best.gain))
	}
}

// option is one move that could be made.
type option struct {
	group *model.Group
	to    string
	gain  float64
}

// bestMove returns the move of the highest gain from a target above the band, or
// towards one as far below it, or nil where none is worth its cost.
func (r *round) bestMove(l *loads) *option {
	to := r.coldest(l)
	if to == "" || l.mean == 0 {
		return nil
	}
	cold := l.target[to] < l.mean*(1-r.policy.Band)
	least := r.policy.Gain * float64(len(r.fit)) / float64(len(r.next.Groups))
	var best *option
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		from := l.target[g.Owner.Name]
		if !r.movable(g) || !cold && from <= l.mean*(1+r.policy.Band) || cold && from <= l.mean {
			continue
		}
		o := r.choose(l, g, to)
		if o.gain >= least && (best == nil || better(o, best)) {
			best = &o
		}
	}
	return best
}

func better(a option, b *option) bool {
	return cmp.Or(cmp.Compare(a.gain, b.gain), cmp.Compare(b.group.ID, a.group.ID)) > 0
}

// choose weighs the coldest target against the group's standby.
func (r *round) choose(l *loads, g *model.Group, coldest string) option {
	o := option{group: g, to: coldest, gain: l.gain(g, coldest)}
	standby := g.Standby.Name
	if !r.usable(standby) || r.towards(standby) >= maxTowards {
		return o
	}
	if gain := l.gain(g, standby); gain >= standbyWorth*o.gain {
		return option{group: g, to: standby, gain: gain}
	}
	return o
}

// gain is by how much the sum of squared loads falls, over the squared mean. It
// is negative where the move would only turn the imbalance round.
func (l *loads) gain(g *model.Group, to string) float64 {
	load := l.group[g.ID]
	return 2 * load * (l.target[g.Owner.Name] - l.target[to] - load) / (l.mean * l.mean)
}

func (r *round) movable(g *model.Group) bool {
	return r.moves[g.ID] == nil && g.MoveTo == "" && !r.touched[g.ID] && r.usable(g.Owner.Name)
}

// coldest returns the usable target of the lowest load that may take more.
func (r *round) coldest(l *loads) string {
	names := slices.DeleteFunc(slices.Clone(r.fit), func(n string) bool { return r.towards(n) >= maxTowards })
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.target[a], l.target[b]), cmp.Compare(a, b))
	})
}

func (r *round) towards(target string) int {
	n := 0
	for _, m := range r.moves {
		if m.to == target {
			n++
		}
	}
	return n
}
