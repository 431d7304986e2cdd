package grants

import (
	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// carry is a grant of the epoch before, which its grantor goes on renewing at
// the next epoch while its claim there is not won yet.
//
// Failure: the assigner replaces a lost target in the record. The new epoch must
// cover the lost one, which does not answer, so the claim takes the slow path;
// the other half would be without a grant meanwhile, though nothing is wrong with
// it. It shows as a second loss of service, about a second after the first.
//
// Why it holds: the target's fence went from our old rank straight to the new
// one, so no grantor won at a rank between them, for that takes the target's
// confirmation or its restart, and a restarted target is granted nothing. Ranks
// below the old one were dealt with when that was won. The slow path of another
// at this epoch would need the head of its line, where we stand.
type carry struct {
	target string
	rank   wire.Rank
}

// carried returns what goes over to the record that follows.
func (g *Group) carried(rec model.Group) carry {
	if g.grant.State() == none || rec.Epoch != g.rec.Epoch+1 {
		return carry{}
	}
	return carry{g.target, g.rank}
}

// mayCarry reports whether the target is the carried one and nobody came between.
func (g *Group) mayCarry(target string) bool {
	if g.carry.target != target || g.place != 0 {
		return false
	}
	c := g.contact(target)
	return c.acked && (c.before == g.carry.rank || g.broken == carriesBlindly)
}
