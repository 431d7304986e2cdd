package lease

import (
	"slices"
	"time"
)

// Change is a slice that gets another owner.
type Change struct {
	Slice int
	To    Owner
}

// Plan returns the record with the changes in it, to be written to the store, and
// freezes their slices until Commit or Abandon. Slices that are on the move keep
// their previous owner: it may still hold the keys, and the owner in between was
// never granted.
//
// A slice that is not movable keeps its owner.
// While the write is in flight, the previous owner may answer its release and the owner in between be
// granted: the record would then name two targets, neither of which holds the keys.
func (g *Grantor) Plan(changes []Change) Record {
	next := g.record
	next.Slices = slices.Clone(g.record.Slices)
	for _, c := range changes {
		sl := &next.Slices[c.Slice]
		if !g.Movable(c.Slice) || c.To.SameIncarnation(sl.Owner) {
			continue
		}
		if !sl.Previous.Known() {
			sl.Previous = sl.Owner
		}
		sl.Owner = c.To
		g.states[c.Slice].frozen = true
	}
	return next
}

// Movable reports whether slice i may get another owner now.
// A predecessor may have granted the keys to the owner already. A move away would drop it from the
// record while it holds them, so the previous owner must be free first.
func (g *Grantor) Movable(i int) bool {
	return !g.record.Slices[i].Previous.Known() || !g.states[i].inherited
}

// SplitSlice cuts slice i after a key, which must not be its last. Both parts have
// the same owner, so the record need not be written before. It returns false for a
// slice that is on the move, and for one with a renewal in flight.
// The end of a renewal of the whole slice would belong to neither part.
func (g *Grantor) SplitSlice(i int, after uint16) bool {
	sl, s := g.record.Slices[i], g.states[i]
	if sl.Previous.Known() || s.frozen || s.pending || !s.granted || after < sl.From || after >= sl.To {
		return false
	}
	right, rightState := sl, s
	sl.To, right.From = after, after+1
	s.fence, rightState.fence = g.newFence(), g.newFence()
	// Granted at once: the first move of a part needs the fence in place.
	s.ackedSentAt, rightState.ackedSentAt = s.ackedSentAt-g.timing.Renew, s.ackedSentAt-g.timing.Renew
	list := slices.Clone(g.record.Slices)
	list[i] = sl
	g.record.Slices = slices.Insert(list, i+1, right)
	g.states[i] = s
	g.states = slices.Insert(g.states, i+1, rightState)
	return true
}

// Abandon ends a plan that the store surely did not take, and never will. A write
// whose answer is lost is not abandoned: it may take effect later. Its slices stay
// frozen until another write was taken, which makes it fail.
func (g *Grantor) Abandon() {
	for i := range g.states {
		g.states[i].frozen = false
	}
}

// Commit puts a planned record in force that the store took. sent dates the write.
//
// A grant that is in flight to the previous owner needs no bound here: its slice waits for
// its end, which dates the hold.
func (g *Grantor) Commit(next Record, sent time.Duration) {
	g.ConfirmEpoch(sent)
	g.Abandon()
	for i := range next.Slices {
		old, sl, s := g.record.Slices[i], &next.Slices[i], &g.states[i]
		if sl.Owner.SameIncarnation(old.Owner) {
			// Its previous owner may have been freed meanwhile.
			sl.Previous = old.Previous
			continue
		}
		if !old.Previous.Known() {
			s.previousExpiresAt = s.expiresAt
		}
		// The new owner was not granted these keys.
		s.granted, s.inherited, s.expiresAt, s.retryAt, s.moved = false, false, 0, 0, true
		s.fence = g.newFence()
	}
	g.record = next
}
