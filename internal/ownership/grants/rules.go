package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// Safety checks that tests disable one at a time.
const (
	noMargin            mutation = "no drift margin"
	forgetsPair         mutation = "a witness that was in the pair is not covered"
	ownAuthority        mutation = "the target counts as its own authority"
	noWitness           mutation = "no witness fenced on the slow path"
	recordsEndAfterSend mutation = "end of a grant recorded after the send"
	acceptsUnlisted     mutation = "an unlisted incarnation is accepted"
	ignoresOtherGrants  mutation = "rule 3 not checked"
	reusesEpoch         mutation = "a restarted agent reuses an epoch"
	anyPosition         mutation = "slow path at an epoch in which another agent is first in line"
	ignoresPrevious     mutation = "old pair not covered after a change of the pair"
	ignoresHeld         mutation = "a grant reported by the other target of the pair is ignored"
	noAuthority         mutation = "authority not required"
	slowWithoutWrite    mutation = "slow path without an epoch of its own"
	noSlowWait          mutation = "slow path without waiting"
	countsFromAnswer    mutation = "a confirmation counted from its answer"
	staleReports        mutation = "answers to orders of an earlier rank count"
	earlierRelease      mutation = "an answer to an earlier release counts"
	carriesUnchecked    mutation = "a grant carried over to a new epoch without checking for a grantor in between"
)

// margin is the allowance for clock drift.
func (g *Group) margin() time.Duration {
	if g.mutation == noMargin {
		return 0
	}
	return g.params.ClockMargin
}

// hasAuthority is rule 1: an arbiter other than the target confirmed this rank
// within the last AuthorityTTL.
//
// Failure: a grantor that was replaced keeps renewing a target that its successor
// cannot reach, so two targets own the same keys. Every successor fences the arbiters
// first, so the old grantor's authority expires.
func (g *Group) hasAuthority(target string, now time.Duration) bool {
	if g.mutation == noAuthority || g.storeConfirmed.within(now, g.params.AuthorityTTL) {
		return true
	}
	for _, ref := range g.arbiters() {
		if ref.Name == target && g.mutation != ownAuthority {
			continue
		}
		if ts := g.stateOf(ref.Name); ts.acked && ts.confirmedOrderAt.within(now, g.params.AuthorityTTL) {
			return true
		}
	}
	return false
}

// mayWin is rule 2: no other agent can grant either target of the pair, now or later.
//
// The fast path needs an answer from each target that a lower rank could grant: the
// pair and the arbiters of earlier epochs. All of them then refuse lower ranks, so it
// does not matter whose rank the witness still confirms. The simultaneous loss of
// grantor and witness with their data centre therefore costs no wait and needs no store.
func (g *Group) mayWin(now time.Duration) bool {
	uncovered, acked, grantable := 0, 0, 0
	last := g.adoptedAt
	for _, ref := range g.targetsToCover() {
		ts := g.stateOf(ref.Name)
		switch {
		case ts.acked || ts.restarted:
			last = max(last, ts.coveredAt)
		default:
			uncovered++
			if !g.onlyWitness(ref) {
				grantable++
			}
		}
		if ts.acked {
			acked++
		}
	}
	if acked == 0 {
		return false
	}
	if grantable == 0 {
		return true
	}
	return g.mayWinSlowPath(uncovered, last, now)
}

// onlyWitness reports whether no grant can be in force at the target: it is the
// witness, and was in the pair at no epoch that a grantor may still use.
//
// Failure: the old owner becomes the witness of a new epoch. It is partitioned from
// its new grantor but not from the old one, so two targets own the same keys.
func (g *Group) onlyWitness(ref model.TargetRef) bool {
	if ref.Name != g.rec.Witness.Name {
		return false
	}
	named := func(p model.TargetRef) bool { return p.Name == ref.Name }
	return !slices.ContainsFunc(g.rec.Previous, named) || g.mutation == forgetsPair
}

// mayWinSlowPath is the slow path of rule 2: one target cannot be reached.
//
// Failure: the target is frozen or partitioned from us, while its old grantor still
// reaches it. All arbiters but that target now refuse the old grantor, the store
// because the epoch is ours. Its authority therefore expires after AuthorityTTL, and
// its last grant GrantTTL later. With two unreachable targets this does not hold: each
// could give the old grantor authority over the other.
func (g *Group) mayWinSlowPath(uncovered int, last, now time.Duration) bool {
	if uncovered > 1 && g.mutation != noWitness {
		return false
	}
	if !g.ownEpoch() && g.mutation != slowWithoutWrite {
		return false
	}
	wait := g.params.AuthorityTTL + g.params.GrantTTL + g.margin()
	return now-last >= wait || g.mutation == noSlowWait
}

// ownEpoch reports whether this incarnation of the agent wrote the epoch and is first
// in its succession line. A later position would leave room for a lower rank of the
// same epoch, which the store still confirms.
func (g *Group) ownEpoch() bool {
	mine := g.rec.Author == g.params.Incarnation || g.mutation == reusesEpoch && isIncarnationOf(g.rec.Author, g.params.VM)
	return mine && (g.position == 0 || g.mutation == anyPosition)
}

func (g *Group) targetsToCover() []model.TargetRef {
	if g.mutation == ignoresPrevious {
		return g.arbiters()
	}
	return g.allTargets()
}

// othersExpired is rule 3: every grant that this agent may have sent to another
// target, and every grant that another target reported, has expired.
//
// Failure: an order whose answer was lost took effect, and the grantor turns to the
// other target of the pair. The end of the grant is recorded before the order is sent,
// so a lost answer does not shorten it.
func (g *Group) othersExpired(target string, now time.Duration) bool {
	for name, ts := range g.targets {
		if name == target {
			continue
		}
		if ts.sentUntil > now && g.mutation != ignoresOtherGrants {
			return false
		}
		if ts.heldUntil > now && g.mutation != ignoresHeld && g.mutation != ignoresOtherGrants {
			return false
		}
	}
	return true
}

// isGrantable reports whether the target of the pair can be granted: its listed
// incarnation confirmed this rank within the last AuthorityTTL.
func (g *Group) isGrantable(ref model.TargetRef, now time.Duration) bool {
	ts := g.stateOf(ref.Name)
	return ref.Name != "" && ts.acked && ts.confirmedOrderAt.within(now, g.params.AuthorityTTL)
}

func (g *Group) mayGrant(ref model.TargetRef, now time.Duration) bool {
	return g.isGrantable(ref, now) && g.hasAuthority(ref.Name, now) && g.othersExpired(ref.Name, now)
}

// chooseTarget returns the target of the pair to grant. In order of preference: the
// one that holds a grant, the one that an operator or the assigner wants, the owner,
// the standby.
func (g *Group) chooseTarget(now time.Duration) (string, bool) {
	for _, want := range []func(model.TargetRef) bool{
		func(ref model.TargetRef) bool { return g.stateOf(ref.Name).heldUntil > now },
		func(ref model.TargetRef) bool { return ref.Name == g.rec.MoveTo },
		func(model.TargetRef) bool { return true },
	} {
		for _, ref := range g.pair() {
			if want(ref) && g.mayGrant(ref, now) && (g.role.State() == granting || g.mayCarry(ref.Name)) {
				return ref.Name, true
			}
		}
	}
	return "", false
}

func (g *Group) pair() []model.TargetRef {
	if g.rec.Standby.Name == "" || !g.params.ChecksFences {
		return []model.TargetRef{g.rec.Owner}
	}
	return []model.TargetRef{g.rec.Owner, g.rec.Standby}
}

func (g *Group) otherOfPair(target string) model.TargetRef {
	for _, ref := range g.pair() {
		if ref.Name != target {
			return ref
		}
	}
	return model.TargetRef{}
}
