package standin

import (
	"slices"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// Fences is the in-memory state of a target about the grants of its groups. Callers
// pass the time in. It is not safe for concurrent use.
//
// Invariant: the fence of a group never decreases within one incarnation, and a grant
// is accepted only if its rank equals the fence.
type Fences struct {
	incarnation string
	groups      map[groupKey]*groupState
}

type groupKey struct {
	service string
	group   uint64
}

type groupState struct {
	fence     wire.Rank
	previous  wire.Rank
	seq       uint64
	slices    []keyspace.Slice
	released  []keyspace.Slice
	heldUntil int64
	heldRank  wire.Rank
}

// NewFences returns the state of a target that has just started.
func NewFences(incarnation string) *Fences {
	return &Fences{incarnation: incarnation, groups: make(map[groupKey]*groupState)}
}

// Apply executes an order. now is the target's clock in nanoseconds; running counts the
// requests in flight on slices.
func (f *Fences) Apply(o *target.Order, now int64, running func(service string, slices []keyspace.Slice) int) *target.Report {
	report := &target.Report{Incarnation: f.incarnation, Clock: now}
	if o.Incarnation != "" && o.Incarnation != f.incarnation {
		// The order is for another incarnation. The fences of an earlier one are lost.
		report.Refused = true
		return report
	}
	for i := range o.Groups {
		g := &o.Groups[i]
		report.Groups = append(report.Groups, f.applyGroup(g, now, o.Incarnation != "", running))
	}
	return report
}

func (f *Fences) applyGroup(o *target.GroupOrder, now int64, hasIncarnation bool, running func(string, []keyspace.Slice) int) target.GroupReport {
	key := groupKey{o.Service, o.Group}
	g := f.groups[key]
	if g == nil {
		g = &groupState{}
		f.groups[key] = g
	}
	confirmed := g.isCurrent(o)
	if confirmed {
		if o.Rank != g.fence {
			g.previous = g.fence
		}
		g.fence, g.seq = o.Rank, o.Seq
		f.applyGrant(g, o, now, hasIncarnation)
	}
	r := target.GroupReport{Service: o.Service, Group: o.Group, Confirmed: confirmed}
	if confirmed && hasIncarnation && len(o.Release) > 0 {
		r.Running = running(o.Service, o.Release)
		g.endIfReleased(o.Release, r.Running)
	}
	r.Fence, r.Before, r.Held, r.HeldRank = g.fence, g.previous, g.heldUntil, g.heldRank
	return r
}

// endIfReleased records the released slices and ends the grant once all of its slices
// are released and no request runs on them.
func (g *groupState) endIfReleased(release []keyspace.Slice, running int) {
	g.released = release
	if running > 0 {
		return
	}
	for _, s := range g.slices {
		if !slices.Contains(release, s) {
			return
		}
	}
	g.heldUntil = 0
}

// isCurrent reports whether the order is at least as new as all that were accepted before.
//
// Failure: a renewal is delayed in the network and arrives after the order that
// released the slices. If it were accepted, it would undo the release while the standby
// is granted the slices, and a planned move would leave two owners. Both orders have the
// same rank, so only the sequence number shows which is older.
func (g *groupState) isCurrent(o *target.GroupOrder) bool {
	c := o.Rank.Compare(g.fence)
	return c > 0 || c == 0 && o.Seq >= g.seq
}

// applyGrant records the grant of an order. An order without an incarnation only raises
// the fence, because it may be meant for another incarnation.
func (f *Fences) applyGrant(g *groupState, o *target.GroupOrder, now int64, hasIncarnation bool) {
	if o.Until <= now || !hasIncarnation {
		return
	}
	g.slices, g.released = o.Slices, o.Release
	g.heldUntil, g.heldRank = o.Until, o.Rank
}

// Admit checks whether a request for the group and rank may run now, and returns "" if
// so. A rank below that of the grant is admitted: the target owns the key, and
// dispatchers learn of a new rank a moment later.
func (f *Fences) Admit(service string, group uint64, rank wire.Rank, incarnation string, p keyspace.Point, now int64) target.Refusal {
	if incarnation != f.incarnation {
		return target.RefusedIncarnation
	}
	g := f.groups[groupKey{service, group}]
	if g == nil || now >= g.heldUntil || rank.Compare(g.heldRank) > 0 || !covers(g.slices, p) {
		return target.RefusedFence
	}
	if covers(g.released, p) {
		return target.RefusedReleased
	}
	return ""
}

// Serves reports whether an unexpired grant covers the point and has not released it.
func (f *Fences) Serves(service string, p keyspace.Point, now int64) bool {
	for key, g := range f.groups {
		if key.service == service && now < g.heldUntil && covers(g.slices, p) && !covers(g.released, p) {
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
