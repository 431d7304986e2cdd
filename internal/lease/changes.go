package lease

import (
	"slices"
	"time"
)

// Change gives a slice to another owner.
type Change struct {
	Slice int
	To    Owner
}

// Plan returns a copy of the record with the changes applied, to be written to the store from now on. A slice that is
// not movable keeps its owner. A slice that is already moving keeps its previous owner: that one may still
// hold the keys, and the owner in between was never granted them.
//
// The changed slices are frozen until Commit or Abandon. Otherwise the previous owner could answer its
// release while the write is in flight, and the owner in between could be granted the keys: the record
// would then name two targets, neither of which holds the keys.
func (g *Grantor) Plan(now time.Duration, changes []Change) Record {
	next := g.record
	next.Earlier = g.earlier(now)
	next.Slices = slices.Clone(g.record.Slices)
	for _, c := range changes {
		sl := &next.Slices[c.Slice]
		if !g.Movable(c.Slice) || c.To.SameIncarnation(sl.Owner) {
			continue
		}
		if !sl.Previous.Known() {
			sl.Previous = sl.Owner
		}
		sl.Owner, sl.Standby, sl.MaybeMoved = c.To, Owner{}, false
		g.states[c.Slice].frozen = true
	}
	return next
}

// PlanStandbys is Plan with the standbys that choose returns for the slices that are not moving. A slice whose standby
// changes cannot be moved to either before Commit or Abandon.
func (g *Grantor) PlanStandbys(now time.Duration, changes []Change, choose func(s Slice) Owner) Record {
	next := g.Plan(now, changes)
	for i := range next.Slices {
		sl, s := &next.Slices[i], &g.states[i]
		if sl.Previous.Known() || s.frozen || s.standbyFrozen {
			continue
		}
		if standby := choose(*sl); standby != sl.Standby && !standby.SameIncarnation(sl.Owner) {
			sl.Standby, s.standbyFrozen = standby, true
		}
	}
	return next
}

// MoveToStandby gives slice i to its standby, without a write of the record, and reports whether it did. It does not
// while a record is being written that names another owner or standby: the stored record must name both targets.
func (g *Grantor) MoveToStandby(i int) bool {
	s, sl := &g.states[i], &g.record.Slices[i]
	if !sl.Standby.Known() || sl.Previous.Known() || s.frozen || s.standbyFrozen || g.endedOwners[sl.Standby] {
		return false
	}
	g.setOwner(i, sl.Standby)
	s.unwritten = true
	return true
}

// setOwner gives a slice to another owner, which has not been granted its keys yet.
func (g *Grantor) setOwner(i int, to Owner) {
	s, sl := &g.states[i], &g.record.Slices[i]
	if !sl.Previous.Known() {
		sl.Previous, s.previousExpiresAt = sl.Owner, s.expiresAt
	}
	sl.Owner, sl.Standby, sl.MaybeMoved = to, Owner{}, false
	s.granted, s.inherited, s.expiresAt, s.retryAt, s.moved = false, false, 0, 0, true
	s.fence = g.newFence()
}

// Unwritten reports whether slices were moved since the record was written.
func (g *Grantor) Unwritten() bool {
	return slices.ContainsFunc(g.states, func(s leaseState) bool { return s.unwritten })
}

// Movable reports whether slice i may be given to another owner now. A predecessor may already have
// granted the keys to the owner of an inherited slice that is moving. Another move would drop that owner
// from the record while it holds the keys, so the previous owner must be cleared first.
func (g *Grantor) Movable(i int) bool {
	return !g.record.Slices[i].Previous.Known() || !g.states[i].inherited
}

// SplitSlice splits slice i after a key, which must not be its last. Both parts keep the owner, so the
// record need not be written first. It returns false for a slice that is moving and for one with a
// renewal in flight: the result of a renewal of the whole slice would belong to neither part.
func (g *Grantor) SplitSlice(i int, after uint16) bool {
	sl, s := g.record.Slices[i], g.states[i]
	if sl.Previous.Known() || s.frozen || s.pending || !s.granted || after < sl.From || after >= sl.To {
		return false
	}
	right, rightState := sl, s
	sl.To, right.From = after, after+1
	s.fence, rightState.fence = g.newFence(), g.newFence()
	// The first move of a part needs its fence at the owner.
	s.renewDue, rightState.renewDue = true, true
	list := slices.Clone(g.record.Slices)
	list[i] = sl
	g.record.Slices = slices.Insert(list, i+1, right)
	g.states[i] = s
	g.states = slices.Insert(g.states, i+1, rightState)
	return true
}

// Abandon drops a plan that the store has certainly not accepted and never will. A write whose answer
// was lost must not be abandoned, as it may take effect later: its slices stay frozen until the store
// has accepted another write, after which the lost one must fail.
func (g *Grantor) Abandon() {
	for i := range g.states {
		g.states[i].frozen, g.states[i].standbyFrozen = false, false
	}
}

// Commit puts a planned record into force after the store has accepted it. The write was sent at sent.
//
// A grant to the previous owner that is still in flight needs no bound here: the slice waits for its
// result, which determines when that owner's hold expires.
func (g *Grantor) Commit(next Record, sent time.Duration) {
	g.ConfirmEpoch(sent)
	slicesBefore := g.record.Slices
	g.record = next
	g.record.Slices = slices.Clone(slicesBefore)
	for i, written := range next.Slices {
		old, s := slicesBefore[i], &g.states[i]
		switch {
		case written.Owner.SameIncarnation(old.Owner):
			// The previous owner may have been cleared while the write was in flight.
			if s.standbyFrozen {
				g.record.Slices[i].Standby = written.Standby
			}
			s.unwritten = false
		case s.frozen:
			g.setOwner(i, written.Owner)
		}
		// Any other slice was moved to its standby while the write was in flight.
	}
	g.Abandon()
}
