package grants

import (
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// Guards that tests take out one at a time.
const (
	noMargin         guard = "no drift margin"
	forgetsPair      guard = "a witness that was in the pair is not covered"
	ownAuthority     guard = "the target counts as its own authority"
	noWitness        guard = "no witness fenced on the slow path"
	keptAfterSend    guard = "end of a grant not kept before the send"
	acceptsUnlisted  guard = "an unlisted incarnation accepted"
	skipsRule3       guard = "rule 3 skipped"
	reusesEpoch      guard = "a restarted agent reuses an epoch"
	anyPlace         guard = "slow path at an epoch whose line another heads"
	ignoresPrevious  guard = "old pair not covered after a change of the pair"
	ignoresHeld      guard = "a grant that the other half reported is ignored"
	noAuthority      guard = "no authority asked for"
	slowWithoutWrite guard = "slow path without an epoch of its own"
	noSlowWait       guard = "slow path without waiting"
	answerDated      guard = "a confirmation dated from its answer"
	staleReports     guard = "answers to orders of an earlier rank count"
	earlierRelease   guard = "an answer to an earlier release counts"
	carriesBlindly   guard = "a grant carried over an epoch without asking who came between"
)

// margin is the allowance for clocks that run apart.
func (g *Group) margin() time.Duration {
	if g.broken == noMargin {
		return 0
	}
	return g.params.ClockMargin
}

// authority is rule 1: an arbiter other than the target confirmed this rank
// within the last Authority.
//
// Failure: a grantor that was replaced goes on renewing a target that its
// successor cannot reach. It shows as two owners. Every successor first fences
// the arbiters, so the old grantor's authority runs dry.
func (g *Group) authority(target string, now time.Duration) bool {
	if g.broken == noAuthority || g.storeAt.within(now, g.params.AuthorityTTL) {
		return true
	}
	for _, ref := range g.arbiters() {
		if ref.Name == target && g.broken != ownAuthority {
			continue
		}
		if c := g.contact(ref.Name); c.acked && c.asked.within(now, g.params.AuthorityTTL) {
			return true
		}
	}
	return false
}

// mayWin is rule 2: nobody else can grant any half of the pair, now or later.
//
// The fast path needs each target that a lower rank could grant: the pair and
// the arbiters of earlier epochs. All of them then refuse lower ranks, so that it
// does not matter whom the witness still confirms. A data centre that takes the
// grantor and the witness with it in one instant costs no wait and no store.
func (g *Group) mayWin(now time.Duration) bool {
	uncovered, acked, grantable := 0, 0, 0
	last := g.adopted
	for _, ref := range g.covering() {
		c := g.contact(ref.Name)
		switch {
		case c.acked || c.restarted:
			last = max(last, c.since)
		default:
			uncovered++
			if !g.onlyWitness(ref) {
				grantable++
			}
		}
		if c.acked {
			acked++
		}
	}
	if acked == 0 {
		return false
	}
	if grantable == 0 {
		return true
	}
	return g.mayWinSlowly(uncovered, last, now)
}

// onlyWitness reports whether no grant can be in force at the target: it is the
// witness, and was in the pair at no epoch that a grantor may still use.
//
// Failure: the old owner becomes the witness of a new epoch, cut off from its new
// grantor and not from the old one. It shows as two owners.
func (g *Group) onlyWitness(ref model.TargetRef) bool {
	if ref.Name != g.rec.Witness.Name {
		return false
	}
	named := func(p model.TargetRef) bool { return p.Name == ref.Name }
	return !slices.ContainsFunc(g.rec.Previous, named) || g.broken == forgetsPair
}

// mayWinSlowly is the slow path of rule 2: one target cannot be reached.
//
// Failure: the target is frozen or cut off from us, and its old grantor is not.
// All arbiters but that target now refuse the old grantor, the store because the
// epoch is ours, so its authority runs dry after Authority, and its last grant
// after Life. Two targets out of reach are one too many: each could give the old
// grantor authority over the other.
func (g *Group) mayWinSlowly(uncovered int, last, now time.Duration) bool {
	if uncovered > 1 && g.broken != noWitness {
		return false
	}
	if !g.ownEpoch() && g.broken != slowWithoutWrite {
		return false
	}
	wait := g.params.AuthorityTTL + g.params.GrantTTL + g.margin()
	return now-last >= wait || g.broken == noSlowWait
}

// ownEpoch reports whether this agent, in this life, wrote the epoch and heads its
// line. Another place in the line would leave room for a lower rank of the same
// epoch, which the store still confirms.
func (g *Group) ownEpoch() bool {
	mine := g.rec.Author == g.params.Incarnation || g.broken == reusesEpoch && sameVM(g.rec.Author, g.params.VM)
	return mine && (g.place == 0 || g.broken == anyPlace)
}

func (g *Group) covering() []model.TargetRef {
	if g.broken == ignoresPrevious {
		return g.arbiters()
	}
	return g.all()
}

// othersOut is rule 3: every grant that this agent may have sent to another
// target, and every one that another reported, is out.
//
// Failure: an order whose answer was lost took effect, and the grantor turns to
// the other half. The end was kept before the send, so a lost answer does not
// shorten it.
func (g *Group) othersOut(target string, now time.Duration) bool {
	for name, c := range g.targets {
		if name == target {
			continue
		}
		if c.sentUntil > now && g.broken != skipsRule3 {
			return false
		}
		if c.heldUntil > now && g.broken != ignoresHeld && g.broken != skipsRule3 {
			return false
		}
	}
	return true
}

// serviceable reports whether the target of the pair can be granted: it confirmed
// this rank in its listed incarnation and answers.
func (g *Group) serviceable(ref model.TargetRef, now time.Duration) bool {
	c := g.contact(ref.Name)
	return ref.Name != "" && c.acked && c.asked.within(now, g.params.AuthorityTTL)
}

func (g *Group) mayGrant(ref model.TargetRef, now time.Duration) bool {
	return g.serviceable(ref, now) && g.authority(ref.Name, now) && g.othersOut(ref.Name, now)
}

// choose returns the half of the pair to grant: the one that holds a grant, the
// one that an operator or the assigner wants, the owner, the standby.
func (g *Group) choose(now time.Duration) (string, bool) {
	for _, want := range []func(model.TargetRef) bool{
		func(ref model.TargetRef) bool { return g.contact(ref.Name).heldUntil > now },
		func(ref model.TargetRef) bool { return ref.Name == g.rec.MoveTo },
		func(model.TargetRef) bool { return true },
	} {
		for _, ref := range g.pair() {
			if want(ref) && g.mayGrant(ref, now) && (g.standing.State() == granting || g.mayCarry(ref.Name)) {
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

func (g *Group) other(target string) model.TargetRef {
	for _, ref := range g.pair() {
		if ref.Name != target {
			return ref
		}
	}
	return model.TargetRef{}
}
