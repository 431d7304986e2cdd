package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// contact is what the grantor knows of one target.
type contact struct {
	// incarnation is the last one seen, clock its clock, received at clockAt.
	incarnation string
	clock       int64
	clockAt     time.Duration
	// covered says that at this rank the listed incarnation confirmed (acked)
	// or that a later one was seen; since is when that was learnt.
	acked, restarted bool
	since            time.Duration
	// asked is when the newest confirmed question left.
	asked stamp
	// seen is when the newest question left that any life answered.
	seen stamp
	// heldUntil ends the grant that the target reported, of rank heldRank, and
	// sentUntil all grants that this agent may have sent to it; both on the
	// agent's clock, margin included.
	heldUntil time.Duration
	heldRank  wire.Rank
	// before is the rank whose fence this one replaced at the target.
	before    wire.Rank
	sentUntil time.Duration
}

// forget drops what was confirmed to an earlier rank. The ends of grants stay:
// they are facts about the target, whatever the rank.
func (c *contact) forget() {
	c.acked, c.restarted, c.asked = false, false, stamp{}
	c.since, c.seen = 0, stamp{}
	c.incarnation, c.clock, c.clockAt = "", 0, 0
	c.before = wire.Rank{}
}

// out is when no grant known to this agent can be in force at the target.
func (c *contact) out() time.Duration { return max(c.heldUntil, c.sentUntil) }

func (g *Group) contact(name string) *contact {
	c := g.targets[name]
	if c == nil {
		c = &contact{}
		g.targets[name] = c
	}
	return c
}

// HandleReport takes the answer to an order, received at now. It returns whether
// Tick should run at once.
func (g *Group) HandleReport(o *Order, r *Report, now time.Duration) bool {
	// An answer to an order of an earlier rank says nothing about this one: it
	// may even come from a life before the listed one.
	if o.Rank != g.rank && g.broken != staleReports || g.standing.State() == following {
		return false
	}
	again := g.report(o, r, now)
	g.due = g.due || again
	return again
}

func (g *Group) report(o *Order, r *Report, now time.Duration) bool {
	c := g.contact(o.Target)
	listed, ok := g.listed(o.Target)
	if !ok {
		return false
	}
	c.incarnation, c.seen = r.Incarnation, stamp{o.CreatedAt, true}
	if g.broken == acceptsUnlisted {
		listed.Incarnation = r.Incarnation
	}
	if listed.Incarnation == "" {
		return g.complete()
	}
	if r.Incarnation != listed.Incarnation {
		return g.sawRestart(o.Target, r.Incarnation, c, now)
	}
	if r.Refused {
		return false
	}
	if !r.Confirmed {
		g.refused(r.Fence)
		return false
	}
	return g.confirmed(o, r, c, now)
}

// sawRestart notes a later life than the listed one. The listed life is over,
// and with it every grant it held.
func (g *Group) sawRestart(name, incarnation string, c *contact, now time.Duration) bool {
	if c.restarted {
		return false
	}
	seen := c.seen
	g.note("target " + name + " restarted")
	c.forget()
	c.restarted, c.since = true, now
	c.incarnation, c.seen = incarnation, seen
	c.heldUntil, c.sentUntil = 0, 0
	return true
}

func (g *Group) confirmed(o *Order, r *Report, c *contact, now time.Duration) bool {
	first := !c.acked
	if first {
		c.acked, c.since, c.before = true, now, r.PreviousFence
	}
	asked := o.CreatedAt
	if g.broken == answerDated {
		asked = now
	}
	if asked > c.asked.at || !c.asked.ok {
		c.asked = stamp{asked, true}
	}
	if r.Clock > c.clock {
		c.clock, c.clockAt = r.Clock, now
		c.heldUntil, c.heldRank = 0, r.HeldRank
		if r.HeldUntil > r.Clock {
			g.confirmedAt = stamp{now, true}
			c.heldUntil = now + time.Duration(r.HeldUntil-r.Clock) + g.margin()
		}
	}
	if g.endsRelease(o) && r.Running == 0 && r.HeldUntil <= r.Clock {
		// The target gave the grant up and ignores older orders of this rank.
		c.heldUntil, c.sentUntil = 0, 0
		g.note("target " + o.Target + " released the group")
		_ = g.grant.Fire(released)
		g.target = ""
		return true
	}
	return first
}

// endsRelease reports whether the order asked for the release under way.
//
// Failure: keys move away and back at one rank, and are to move again. An answer to the
// first release comes only then, and is taken for the end of this one. It shows as two
// owners, since the grant that the target got in between is in force. An order is made no
// earlier than the release that it asks for, so its time distinguishes them.
func (g *Group) endsRelease(o *Order) bool {
	if g.grant.State() != releasing || o.Target != g.target || len(o.Release) == 0 {
		return false
	}
	return o.CreatedAt >= g.releaseFrom || g.broken == earlierRelease
}

// refused notes that a target has seen a rank above ours.
func (g *Group) refused(fence wire.Rank) {
	if fence.Compare(g.rank) <= 0 {
		return // only an order that came late
	}
	if fence.Compare(g.outranked) > 0 {
		g.outranked = fence
	}
	g.quit("a target has seen a higher rank, of " + fence.Agent)
}

// HandleStoreRead notes that the store, asked at the time, showed the group's epoch.
func (g *Group) HandleStoreRead(epoch uint64, asked time.Duration) {
	if epoch == g.rec.Epoch && asked >= g.adopted {
		g.storeAt = stamp{asked, true}
	}
}

// complete reports whether all unlisted incarnations are known.
func (g *Group) complete() bool {
	for _, ref := range g.arbiters() {
		if ref.Incarnation == "" && g.contact(ref.Name).incarnation == "" {
			return false
		}
	}
	return true
}

// arbiters are the targets of the record: owner, standby, witness.
func (g *Group) arbiters() []model.TargetRef {
	refs := []model.TargetRef{g.rec.Owner}
	for _, ref := range []model.TargetRef{g.rec.Standby, g.rec.Witness} {
		if ref.Name != "" {
			refs = append(refs, ref)
		}
	}
	return refs
}

// all are the targets, one entry each, that a takeover must cover: those of this epoch and those
// of earlier ones that may still hold a grant or confirm a lower rank.
func (g *Group) all() []model.TargetRef {
	refs := g.arbiters()
	for _, p := range g.rec.Previous {
		named := func(ref model.TargetRef) bool { return ref.Name == p.Name }
		if p.Incarnation != "" && !slices.ContainsFunc(refs, named) {
			refs = append(refs, p)
		}
	}
	return refs
}

func (g *Group) listed(name string) (model.TargetRef, bool) {
	for _, ref := range g.all() {
		if ref.Name == name {
			return ref, true
		}
	}
	return model.TargetRef{}, false
}
