package grants

import (
	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// carriedGrant is a grant of the previous epoch that its grantor keeps renewing at
// the next epoch until its claim there is won.
//
// Failure: the assigner replaces a lost target in the record. The new epoch must cover
// the lost target, which does not answer, so the claim takes the slow path. Without the
// carried grant the other target of the pair, which is healthy, would lose its grant
// meanwhile: a second loss of service, about a second after the first.
//
// Why this is safe: the target's fence went directly from our old rank to the new one,
// so no grantor won at a rank in between. That would have needed the target's
// confirmation or its restart, and a restarted target is granted nothing. Ranks below the
// old one were dealt with when that was won. Another agent could take the slow path at
// this epoch only as first in its line, and that position is ours.
type carriedGrant struct {
	target string
	rank   wire.Rank
}

// carryOver returns the grant that continues under the record that follows.
func (g *Group) carryOver(rec model.Group) carriedGrant {
	if g.grant.State() == none || rec.Epoch != g.rec.Epoch+1 {
		return carriedGrant{}
	}
	return carriedGrant{g.grantedTarget, g.rank}
}

// mayCarry reports whether the target holds the carried grant and no other grantor won
// in between.
func (g *Group) mayCarry(target string) bool {
	if g.carriedOver.target != target || g.position != 0 {
		return false
	}
	ts := g.stateOf(target)
	return ts.acked && (ts.previousFence == g.carriedOver.rank || g.mutation == carriesUnchecked)
}
