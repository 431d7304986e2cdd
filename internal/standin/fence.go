package standin

import (
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// Fences is what a target keeps about the grants of its groups. It has no clock
// of its own and is not safe for concurrent use.
//
// Invariant: the fence of a group never falls within one incarnation, and a
// grant is accepted only at the fence.
type Fences struct {
	incarnation string
	groups      map[groupKey]*groupState
}

type groupKey struct {
	service string
	group   uint64
}

type groupState struct {
	fence    wire.Rank
	slices   []keyspace.Slice
	released []keyspace.Slice
	held     int64
	heldRank wire.Rank
}

// NewFences returns the memory of a target that has just started.
func NewFences(incarnation string) *Fences {
	return &Fences{incarnation: incarnation, groups: make(map[groupKey]*groupState)}
}

// Apply carries out an order at the target's time now, nanoseconds. running
// counts the requests in flight on slices.
func (f *Fences) Apply(o *target.Order, now int64, running func(service string, slices []keyspace.Slice) int) *target.Report {
	report := &target.Report{Incarnation: f.incarnation, Clock: now}
	if o.Incarnation != "" && o.Incarnation != f.incarnation {
		// The order is for an earlier life, whose memory of fences is lost.
		report.Refused = true
		return report
	}
	for i := range o.Groups {
		g := &o.Groups[i]
		r := f.applyGroup(g, now, o.Incarnation != "")
		if len(g.Release) > 0 {
			r.Running = running(g.Service, g.Release)
		}
		report.Groups = append(report.Groups, r)
	}
	return report
}

func (f *Fences) applyGroup(o *target.GroupOrder, now int64, named bool) target.GroupReport {
	key := groupKey{o.Service, o.Group}
	g := f.groups[key]
	if g == nil {
		g = &groupState{}
		f.groups[key] = g
	}
	confirmed := o.Rank.Compare(g.fence) >= 0
	if confirmed {
		g.fence = o.Rank
		f.grant(g, o, now, named)
	}
	return target.GroupReport{
		Service: o.Service, Group: o.Group, Confirmed: confirmed,
		Fence: g.fence, Held: g.held, HeldRank: g.heldRank,
	}
}

// grant puts a grant in force. An order without incarnation only fences: it may
// be for another life.
func (f *Fences) grant(g *groupState, o *target.GroupOrder, now int64, named bool) {
	if o.Until <= now || !named {
		return
	}
	g.slices, g.released = o.Slices, o.Release
	g.held, g.heldRank = o.Until, o.Rank
}

// Admit tells whether a request that names the group and rank may run now. The
// refusal is "" if so.
func (f *Fences) Admit(service string, group uint64, rank wire.Rank, incarnation string, p keyspace.Point, now int64) target.Refusal {
	if incarnation != f.incarnation {
		return target.RefusedIncarnation
	}
	g := f.groups[groupKey{service, group}]
	if g == nil || now >= g.held || rank.Compare(g.heldRank) != 0 || !covers(g.slices, p) {
		return target.RefusedFence
	}
	if covers(g.released, p) {
		return target.RefusedReleased
	}
	return ""
}

// Serves tells whether any grant in force covers the point.
func (f *Fences) Serves(service string, p keyspace.Point, now int64) bool {
	for key, g := range f.groups {
		if key.service == service && now < g.held && covers(g.slices, p) {
			return true
		}
	}
	return false
}

func covers(slices []keyspace.Slice, p keyspace.Point) bool {
	for _, s := range slices {
		if s.Contains(p) {
			return true
		}
	}
	return false
}
