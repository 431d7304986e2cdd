package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// Proposal returns the record that the store should hold for this group, if it differs
// from the record in force. It may only replace that record.
func (g *Group) Proposal(now time.Duration, observation Observation) (model.Group, bool) {
	switch g.role.State() {
	case following:
		if g.isMyTurn(now, observation) && (g.otherIncarnationWroteEpoch() || g.orphaned(now, observation)) {
			return g.nextEpoch(), true
		}
	case claiming:
		if g.knowsUnlistedIncarnation() && (g.allIncarnationsKnown() || now-g.claimedAt > g.params.FastPathTimeout) ||
			g.needsOwnEpoch(now) {
			return g.nextEpoch(), true
		}
	case granting:
		if g.knowsUnlistedIncarnation() && g.allAnsweredRecently(now) {
			return g.nextEpoch(), true
		}
		return g.sameEpoch()
	}
	return model.Group{}, false
}

// orphaned reports whether nobody in the line can continue at this epoch: the agent
// whose higher rank stopped this one is lost, or has not served the group for long.
func (g *Group) orphaned(now time.Duration, observation Observation) bool {
	r := g.higherRank
	if r == (wire.Rank{}) || r.Epoch != g.rec.Epoch {
		return false
	}
	last := time.Duration(len(g.rec.Grantors)+g.position) * g.params.UnservedTimeout
	return r.Agent == g.params.VM || !observation.Live(r.Agent) || g.timeUnserved(now) > last
}

// needsOwnEpoch reports whether the fast path timed out and the slow path needs an
// epoch that this agent wrote.
func (g *Group) needsOwnEpoch(now time.Duration) bool {
	return now-g.claimedAt > g.params.FastPathTimeout && !g.ownEpoch()
}

// knowsUnlistedIncarnation reports whether an arbiter has an incarnation that the record
// does not list. It can confirm ranks and serve only once it is listed.
func (g *Group) knowsUnlistedIncarnation() bool {
	return slices.ContainsFunc(g.arbiters(), func(ref model.TargetRef) bool {
		ts := g.stateOf(ref.Name)
		return ts.restarted || ref.Incarnation == "" && ts.incarnation != ""
	})
}

// allAnsweredRecently reports whether the fast path would succeed at once at a new epoch.
func (g *Group) allAnsweredRecently(now time.Duration) bool {
	return !slices.ContainsFunc(g.arbiters(), func(ref model.TargetRef) bool {
		return !g.stateOf(ref.Name).answeredOrderAt.within(now, g.params.AuthorityTTL)
	})
}

// nextEpoch returns a record of the next epoch that lists the incarnations seen and
// puts this agent first in line. Only a grantor, which has covered the arbiters of
// earlier epochs, drops them.
func (g *Group) nextEpoch() model.Group {
	next := g.cloneRecord()
	next.Epoch++
	next.Author = g.params.Incarnation
	next.Grantors = []string{g.params.VM}
	for _, vm := range g.rec.Grantors {
		if vm != g.params.VM {
			next.Grantors = append(next.Grantors, vm)
		}
	}
	if g.role.State() == granting {
		next.Previous = nil
		g.applyGrant(&next)
	}
	for _, ref := range []*model.TargetRef{&next.Owner, &next.Standby, &next.Witness} {
		ts := g.stateOf(ref.Name)
		if ref.Name != "" && (ts.restarted || ref.Incarnation == "") && ts.incarnation != "" {
			ref.Incarnation = ts.incarnation
		}
	}
	return next
}

// sameEpoch returns the record with owner and MoveTo updated after a takeover or a move.
func (g *Group) sameEpoch() (model.Group, bool) {
	updated := g.rec // applyGrant does not change the slices
	if !g.applyGrant(&updated) {
		return model.Group{}, false
	}
	next := g.cloneRecord()
	g.applyGrant(&next)
	return next, true
}

func (g *Group) applyGrant(next *model.Group) bool {
	if g.grant.State() != granted {
		return false
	}
	changed := false
	if g.grantedTarget == next.Standby.Name {
		next.Owner, next.Standby = next.Standby, next.Owner
		changed = true
	}
	if next.MoveTo == g.grantedTarget {
		next.MoveTo = ""
		changed = true
	}
	return changed
}

func (g *Group) cloneRecord() model.Group {
	next := g.rec
	next.Slices = slices.Clone(g.rec.Slices)
	next.Grantors = slices.Clone(g.rec.Grantors)
	next.Previous = slices.Clone(g.rec.Previous)
	return next
}

// ReplaceTargets returns the record of the next epoch with other targets.
func ReplaceTargets(old model.Group, owner, standby, witness model.TargetRef, author string) model.Group {
	next := old
	next.Epoch++
	next.Author = author
	next.Owner, next.Standby, next.Witness = owner, standby, witness
	next.MoveTo = ""
	SetPreviousArbiters(&old, &next)
	return next
}

// SetPreviousArbiters lists in the record of a new epoch the arbiters that leave the
// group. Every writer of a record with other targets must call it.
//
// Failure: a target that left the pair still holds its grant but is not asked any more,
// and its successor is granted at once. Two targets own the same keys until the grant
// expires, or for as long as a partitioned grantor renews it. A target that is listed
// as Previous must be fenced, or its grant waited out, before the group is won.
func SetPreviousArbiters(old, next *model.Group) {
	pair := []model.TargetRef{next.Owner, next.Standby}
	next.Previous = nil
	for _, ref := range append([]model.TargetRef{old.Owner, old.Standby, old.Witness}, old.Previous...) {
		// A target that stays witness and was only a witness before holds no grant.
		same := ref == old.Witness && ref == next.Witness && !slices.Contains(old.Previous, ref)
		if ref.Incarnation != "" && !same && !slices.Contains(pair, ref) && !slices.Contains(next.Previous, ref) {
			next.Previous = append(next.Previous, ref)
		}
	}
}
