package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// Proposal returns the record that the store should hold for this group, if it
// is another than the one in force. It may be written only over that one.
func (g *Group) Proposal(now time.Duration, observation Observation) (model.Group, bool) {
	switch g.standing.State() {
	case following:
		if g.myTurn(now, observation) && (g.barred() || g.orphaned(now, observation)) {
			return g.nextEpoch(), true
		}
	case claiming:
		if g.learned() && (g.complete() || now-g.took > g.params.FastPathTimeout) || g.stuck(now) {
			return g.nextEpoch(), true
		}
	case granting:
		if g.learned() && g.allHeard(now) {
			return g.nextEpoch(), true
		}
		return g.sameEpoch()
	}
	return model.Group{}, false
}

// orphaned reports whether the higher rank that stopped this agent was of one that
// is lost, or has not served for long: nobody in the line could go on at this
// epoch.
func (g *Group) orphaned(now time.Duration, observation Observation) bool {
	r := g.outranked
	if r == (wire.Rank{}) || r.Epoch != g.rec.Epoch {
		return false
	}
	last := time.Duration(len(g.rec.Grantors)+g.place) * g.params.UnservedTimeout
	return r.Agent == g.params.VM || !observation.Live(r.Agent) || g.idleFor(now) > last
}

// stuck reports whether the fast path failed and the slow one needs an epoch.
func (g *Group) stuck(now time.Duration) bool {
	return now-g.took > g.params.FastPathTimeout && !g.ownEpoch()
}

// learned reports whether a life of an arbiter is known that the record does not
// list: it arbitrates and serves once it is listed.
func (g *Group) learned() bool {
	return slices.ContainsFunc(g.arbiters(), func(ref model.TargetRef) bool {
		c := g.contact(ref.Name)
		return c.restarted || ref.Incarnation == "" && c.incarnation != ""
	})
}

// allHeard reports whether the fast path would succeed at once at a new epoch.
func (g *Group) allHeard(now time.Duration) bool {
	return !slices.ContainsFunc(g.arbiters(), func(ref model.TargetRef) bool {
		return !g.contact(ref.Name).seen.within(now, g.params.AuthorityTTL)
	})
}

// nextEpoch lists the incarnations seen and puts this agent first in line. The
// arbiters of earlier epochs are dropped only by one that has covered them.
func (g *Group) nextEpoch() model.Group {
	next := g.clone()
	next.Epoch++
	next.Author = g.params.Incarnation
	next.Grantors = []string{g.params.VM}
	for _, vm := range g.rec.Grantors {
		if vm != g.params.VM {
			next.Grantors = append(next.Grantors, vm)
		}
	}
	if g.standing.State() == granting {
		next.Previous = nil
		g.settle(&next)
	}
	for _, ref := range []*model.TargetRef{&next.Owner, &next.Standby, &next.Witness} {
		c := g.contact(ref.Name)
		if ref.Name != "" && (c.restarted || ref.Incarnation == "") && c.incarnation != "" {
			ref.Incarnation = c.incarnation
		}
	}
	return next
}

// sameEpoch brings owner and intent up to date after a takeover or a move.
func (g *Group) sameEpoch() (model.Group, bool) {
	swapped := g.rec // settle changes no slice
	if !g.settle(&swapped) {
		return model.Group{}, false
	}
	next := g.clone()
	g.settle(&next)
	return next, true
}

func (g *Group) settle(next *model.Group) bool {
	if g.grant.State() != granted {
		return false
	}
	changed := false
	if g.target == next.Standby.Name {
		next.Owner, next.Standby = next.Standby, next.Owner
		changed = true
	}
	if next.MoveTo == g.target {
		next.MoveTo = ""
		changed = true
	}
	return changed
}

func (g *Group) clone() model.Group {
	next := g.rec
	next.Slices = slices.Clone(g.rec.Slices)
	next.Grantors = slices.Clone(g.rec.Grantors)
	next.Previous = slices.Clone(g.rec.Previous)
	return next
}

// ChangePair returns the record of the next epoch with other targets.
func ChangePair(old model.Group, owner, standby, witness model.TargetRef, author string) model.Group {
	next := old
	next.Epoch++
	next.Author = author
	next.Owner, next.Standby, next.Witness = owner, standby, witness
	next.MoveTo = ""
	SetPreviousArbiters(&old, &next)
	return next
}

// SetPreviousArbiters lists in the record of a new epoch the arbiters that leave the
// group. Whoever writes a record with other targets must call it.
//
// Failure: a target that left the pair still holds its grant, and is not asked
// any more; its successor is granted at once. It shows as two owners for the
// life of a grant, or for as long as a cut-off grantor renews the old one.
// Listed as Previous, it must be fenced, or waited out, before the group is won.
func SetPreviousArbiters(old, next *model.Group) {
	pair := []model.TargetRef{next.Owner, next.Standby}
	next.Previous = nil
	for _, ref := range append([]model.TargetRef{old.Owner, old.Standby, old.Witness}, old.Previous...) {
		// Who stays witness and was no more than that holds no grant.
		same := ref == old.Witness && ref == next.Witness && !slices.Contains(old.Previous, ref)
		if ref.Incarnation != "" && !same && !slices.Contains(pair, ref) && !slices.Contains(next.Previous, ref) {
			next.Previous = append(next.Previous, ref)
		}
	}
}
