package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// targetState is what the grantor knows of one target.
type targetState struct {
	// incarnation is the last one seen, targetClock its clock, received at clockAt.
	incarnation string
	targetClock int64
	clockAt     time.Duration
	// The target is covered at this rank when its listed incarnation confirmed the rank
	// (acked) or a later incarnation was seen (restarted); coveredAt is when that was learnt.
	acked, restarted bool
	coveredAt        time.Duration
	// confirmedOrderAt is when the newest confirmed order was created.
	confirmedOrderAt optionalTime
	// answeredOrderAt is when the newest order was created that any incarnation answered.
	answeredOrderAt optionalTime
	// heldUntil is the end of the grant that the target reported, of rank heldRank.
	// sentUntil is the latest end of all grants that this agent may have sent to it.
	// Both are on the agent's clock and include the margin.
	heldUntil time.Duration
	heldRank  wire.Rank
	// previousFence is the rank whose fence this rank replaced at the target.
	previousFence wire.Rank
	sentUntil     time.Duration
}

// resetForNewRank drops what was confirmed to an earlier rank. The ends of grants stay,
// because they are facts about the target at any rank.
func (ts *targetState) resetForNewRank() {
	ts.acked, ts.restarted, ts.confirmedOrderAt = false, false, optionalTime{}
	ts.coveredAt, ts.answeredOrderAt = 0, optionalTime{}
	ts.incarnation, ts.targetClock, ts.clockAt = "", 0, 0
	ts.previousFence = wire.Rank{}
}

// grantsEndAt is the time from which no grant known to this agent can be in force at
// the target.
func (ts *targetState) grantsEndAt() time.Duration { return max(ts.heldUntil, ts.sentUntil) }

func (g *Group) stateOf(name string) *targetState {
	ts := g.targets[name]
	if ts == nil {
		ts = &targetState{}
		g.targets[name] = ts
	}
	return ts
}

// HandleReport takes the answer to an order, received at now. It returns whether
// Tick should run at once.
func (g *Group) HandleReport(o *Order, r *Report, now time.Duration) bool {
	// An answer to an order of an earlier rank says nothing about this rank. It may
	// even come from an incarnation before the listed one.
	if o.Rank != g.rank && g.mutation != staleReports || g.role.State() == following {
		return false
	}
	tickNow := g.applyReport(o, r, now)
	g.sendNow = g.sendNow || tickNow
	return tickNow
}

func (g *Group) applyReport(o *Order, r *Report, now time.Duration) bool {
	ts := g.stateOf(o.Target)
	listed, ok := g.findTarget(o.Target)
	if !ok {
		return false
	}
	ts.incarnation, ts.answeredOrderAt = r.Incarnation, optionalTime{o.CreatedAt, true}
	if g.mutation == acceptsUnlisted {
		listed.Incarnation = r.Incarnation
	}
	if listed.Incarnation == "" {
		return g.allIncarnationsKnown()
	}
	if r.Incarnation != listed.Incarnation {
		return g.applyRestart(o.Target, r.Incarnation, ts, now)
	}
	if r.Refused {
		return false
	}
	if !r.Confirmed {
		g.applyRefusal(r.Fence)
		return false
	}
	return g.applyConfirmation(o, r, ts, now)
}

// applyRestart records a later incarnation than the listed one. The listed incarnation
// has ended, and with it every grant it held.
func (g *Group) applyRestart(name, incarnation string, ts *targetState, now time.Duration) bool {
	if ts.restarted {
		return false
	}
	seen := ts.answeredOrderAt
	g.note("target " + name + " restarted")
	ts.resetForNewRank()
	ts.restarted, ts.coveredAt = true, now
	ts.incarnation, ts.answeredOrderAt = incarnation, seen
	ts.heldUntil, ts.sentUntil = 0, 0
	return true
}

func (g *Group) applyConfirmation(o *Order, r *Report, ts *targetState, now time.Duration) bool {
	first := !ts.acked
	if first {
		ts.acked, ts.coveredAt, ts.previousFence = true, now, r.PreviousFence
	}
	asked := o.CreatedAt
	if g.mutation == countsFromAnswer {
		asked = now
	}
	if asked > ts.confirmedOrderAt.at || !ts.confirmedOrderAt.ok {
		ts.confirmedOrderAt = optionalTime{asked, true}
	}
	if r.Clock > ts.targetClock {
		ts.targetClock, ts.clockAt = r.Clock, now
		ts.heldUntil, ts.heldRank = 0, r.HeldRank
		if r.HeldUntil > r.Clock {
			g.confirmedAt = optionalTime{now, true}
			ts.heldUntil = now + time.Duration(r.HeldUntil-r.Clock) + g.margin()
		}
	}
	if g.endsRelease(o) && r.Running == 0 && r.HeldUntil <= r.Clock {
		// The target has given up the grant and ignores older orders of this rank.
		ts.heldUntil, ts.sentUntil = 0, 0
		g.note("target " + o.Target + " released the group")
		_ = g.grant.Fire(released)
		g.grantedTarget = ""
		return true
	}
	return first
}

// endsRelease reports whether the order asked for the release under way.
//
// Failure: keys move away and back at one rank, and are to move again. A delayed answer to
// the first release is taken for the end of this one, while the grant that the target got
// in between is in force, so two targets own the same keys. An order is created no earlier
// than the release that it asks for, so its creation time distinguishes them.
func (g *Group) endsRelease(o *Order) bool {
	if g.grant.State() != releasing || o.Target != g.grantedTarget || len(o.Release) == 0 {
		return false
	}
	return o.CreatedAt >= g.releaseStarted || g.mutation == earlierRelease
}

// applyRefusal records that a target has seen a rank above ours.
func (g *Group) applyRefusal(fence wire.Rank) {
	if fence.Compare(g.rank) <= 0 {
		return // the order was only delayed
	}
	if fence.Compare(g.higherRank) > 0 {
		g.higherRank = fence
	}
	g.resign("a target has seen a higher rank, of agent " + fence.Agent)
}

// HandleStoreRead records that a read of the store, begun at asked, showed the group at
// epoch.
func (g *Group) HandleStoreRead(epoch uint64, asked time.Duration) {
	if epoch == g.rec.Epoch && asked >= g.adoptedAt {
		g.storeConfirmed = optionalTime{asked, true}
	}
}

// allIncarnationsKnown reports whether the incarnation of each arbiter that the record
// lists without one is known.
func (g *Group) allIncarnationsKnown() bool {
	for _, ref := range g.arbiters() {
		if ref.Incarnation == "" && g.stateOf(ref.Name).incarnation == "" {
			return false
		}
	}
	return true
}

// arbiters returns the targets of the record: owner, standby, witness.
func (g *Group) arbiters() []model.TargetRef {
	refs := []model.TargetRef{g.rec.Owner}
	for _, ref := range []model.TargetRef{g.rec.Standby, g.rec.Witness} {
		if ref.Name != "" {
			refs = append(refs, ref)
		}
	}
	return refs
}

// allTargets returns, one entry each, the targets that a takeover must cover: those of
// this epoch, and those of earlier epochs that may still hold a grant or confirm a lower
// rank.
func (g *Group) allTargets() []model.TargetRef {
	refs := g.arbiters()
	for _, p := range g.rec.Previous {
		named := func(ref model.TargetRef) bool { return ref.Name == p.Name }
		if p.Incarnation != "" && !slices.ContainsFunc(refs, named) {
			refs = append(refs, p)
		}
	}
	return refs
}

func (g *Group) findTarget(name string) (model.TargetRef, bool) {
	for _, ref := range g.allTargets() {
		if ref.Name == name {
			return ref, true
		}
	}
	return model.TargetRef{}, false
}
