package grants

import (
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/wire"
)

// Observation is what the agent knows of the group from heartbeats.
type Observation struct {
	// Live reports whether a VM's agent is heard.
	Live func(vm string) bool
	// Served says that a live agent reports a grant of the group.
	Served bool
	// HighestRank is the highest rank of a grant of the group that any agent, live
	// or lost, has reported; zero if none was reported.
	HighestRank wire.Rank
}

// Tick advances the group's state and returns the orders to send now. It may be called
// at any rate: orders are returned every RenewInterval, and at once after a change.
func (g *Group) Tick(now time.Duration, observation Observation) []Order {
	if observation.Served || !g.lastServed.ok {
		g.lastServed = optionalTime{now, true}
	}
	if g.role.State() == following && g.isMyTurn(now, observation) &&
		!g.otherIncarnationWroteEpoch() && g.higherRank == (wire.Rank{}) {
		g.claimedAt, g.sendNow = now, true
		_ = g.role.Fire(take)
	}
	if g.role.State() == following {
		return nil
	}
	if g.role.State() == claiming && g.mayWin(now) {
		_ = g.role.Fire(won)
	}
	g.advanceGrant(now)
	if !g.sendNow && now-g.lastSent < g.params.RenewInterval {
		return nil
	}
	g.sendNow, g.lastSent = false, now
	return g.orders(now)
}

// isMyTurn reports whether the agent is in the succession line and all agents before it
// are lost, or live but unable to serve the group.
//
// Failure: the grantor is partitioned from the targets but not from its peers, so the
// group has no service though all agents are live. Each agent in the line waits longer
// than the one before, so that they do not outrank each other.
func (g *Group) isMyTurn(now time.Duration, observation Observation) bool {
	if g.position < 0 {
		return false
	}
	for _, vm := range g.rec.Grantors[g.firstEligible(observation):g.position] {
		if observation.Live(vm) {
			return g.timeUnserved(now) > time.Duration(g.position)*g.params.UnservedTimeout
		}
	}
	return true
}

// firstEligible returns the first position in the line that can still win at this epoch.
//
// Failure: the second in line took over briefly and is lost later, while the store is
// down. The first is live, so the third waits for it. But the targets refuse the first's
// rank, which is below the second's, and a new epoch needs the store. The keys have no
// service until the store is back or the third's wait ends.
func (g *Group) firstEligible(observation Observation) int {
	h := observation.HighestRank
	if h.Epoch != g.rec.Epoch || h.Succession > uint64(g.position) {
		return 0
	}
	return int(h.Succession)
}

func (g *Group) timeUnserved(now time.Duration) time.Duration { return now - g.lastServed.at }

// otherIncarnationWroteEpoch reports whether another incarnation of this agent wrote the epoch.
//
// Failure: a VM is replaced under the same name while its old agent, which was only
// frozen, resumes. Both would use the epoch, and the store would confirm it to both: the
// old one renews its target while the new one takes the slow path.
func (g *Group) otherIncarnationWroteEpoch() bool {
	if g.mutation == reusesEpoch {
		return false
	}
	return g.rec.Author != g.params.Incarnation && isIncarnationOf(g.rec.Author, g.params.VM)
}

// isIncarnationOf reports whether an incarnation, VM-STARTED, belongs to the VM.
func isIncarnationOf(incarnation, vm string) bool {
	n := len(vm)
	if len(incarnation) <= n || incarnation[:n] != vm || incarnation[n] != '-' {
		return false
	}
	for _, c := range incarnation[n+1:] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// advanceGrant ends the current grant if need be, and chooses a target if there is none.
func (g *Group) advanceGrant(now time.Duration) {
	if g.grant.State() != none {
		g.checkGrant(now)
	}
	if g.grant.State() != none {
		return
	}
	if name, ok := g.chooseTarget(now); ok {
		g.grantedTarget = name
		g.note("granted to " + name)
		g.sendNow = true
		_ = g.grant.Fire(grant)
	}
}

// checkGrant ends the grant of a lost target and starts planned moves.
func (g *Group) checkGrant(now time.Duration) {
	ts := g.stateOf(g.grantedTarget)
	switch {
	case ts.restarted, ts.grantsEndAt() <= now &&
		(ts.sentUntil > 0 || g.mutation == recordsEndAfterSend && !ts.confirmedOrderAt.within(now, g.params.AuthorityTTL)):
		g.note("target " + g.grantedTarget + " lost, or its grant expired")
		_ = g.grant.Fire(silent)
		g.grantedTarget = ""
	case g.grant.State() == granted && g.shouldMove(now):
		g.releaseStarted = now
		g.note("planned move from " + g.grantedTarget + " to " + g.rec.MoveTo)
		g.sendNow = true
		_ = g.grant.Fire(release)
	case g.grant.State() == releasing && now-g.releaseStarted > g.params.ReleaseTimeout:
		g.note("release by " + g.grantedTarget + " overdue: waiting for its grant to expire")
		_ = g.grant.Fire(overdue)
	}
}

func (g *Group) shouldMove(now time.Duration) bool {
	to := g.otherOfPair(g.grantedTarget)
	return g.role.State() == granting && g.rec.MoveTo != "" && g.rec.MoveTo == to.Name && g.isGrantable(to, now)
}

// orders returns one order for each target that a takeover must cover. During a claim
// the owner is asked after the others, so that a claim that reaches only the owner
// does not interrupt the old grantor's renewals.
func (g *Group) orders(now time.Duration) []Order {
	var out []Order
	for i, ref := range g.allTargets() {
		if i == 0 && g.defersOwner(now) {
			continue
		}
		g.seq++
		o := Order{Target: ref.Name, Incarnation: ref.Incarnation, Rank: g.rank, Seq: g.seq, CreatedAt: now}
		if ts := g.stateOf(ref.Name); g.mutation == acceptsUnlisted && ts.incarnation != "" {
			o.Incarnation = ts.incarnation
		}
		if ref.Name == g.grantedTarget {
			g.addGrant(&o, now)
		}
		out = append(out, o)
	}
	return out
}

// defersOwner reports whether the owner is not to be asked yet.
func (g *Group) defersOwner(now time.Duration) bool {
	if g.role.State() != claiming || len(g.arbiters()) == 1 || now-g.claimedAt > g.params.FastPathTimeout/2 {
		return false
	}
	for _, ref := range g.arbiters()[1:] {
		if ts := g.stateOf(ref.Name); ts.acked || ts.restarted || ref.Incarnation == "" {
			return false
		}
	}
	return true
}

// addGrant turns the order into a grant if rule 1 holds. The end of the grant counts
// from a clock value that the target reported earlier, so a delayed order has expired on
// arrival.
func (g *Group) addGrant(o *Order, now time.Duration) {
	state := g.grant.State()
	if state == releasing || state == expiring {
		o.Release = g.rec.Slices
	}
	if state == expiring || !g.hasAuthority(g.grantedTarget, now) {
		return
	}
	ts := g.stateOf(g.grantedTarget)
	o.Slices = append([]keyspace.Slice(nil), g.rec.Slices...)
	o.Until = ts.targetClock + int64(g.params.GrantTTL)
	if g.mutation != recordsEndAfterSend {
		ts.sentUntil = max(ts.sentUntil, ts.clockAt+g.params.GrantTTL+g.margin())
	}
}

// Idle reports whether this agent does not grant the group, or no target has confirmed
// its grant for longer than UnservedTimeout.
func (g *Group) Idle(now time.Duration) bool {
	return g.role.State() == following || g.confirmedAt.ok && now-g.confirmedAt.at > g.params.UnservedTimeout
}

// NeedsStore reports whether only the store can give authority now.
func (g *Group) NeedsStore(now time.Duration) bool {
	if g.role.State() == following {
		return false
	}
	for _, ref := range g.pair() {
		if g.isGrantable(ref, now) && (g.grantedTarget == "" || g.grantedTarget == ref.Name) &&
			!g.hasTargetAuthority(ref.Name, now) {
			return true
		}
	}
	return false
}

// hasTargetAuthority reports whether the targets' confirmations give authority for at
// least another quarter of AuthorityTTL, in which the store can answer. Renewals are
// sent after RenewInterval plus up to one tick, and are answered within milliseconds. A
// limit of half of AuthorityTTL (two renewals) was exceeded at every late tick, and each
// of these ticks read the store. Beyond three quarters, an answer is missing.
func (g *Group) hasTargetAuthority(target string, now time.Duration) bool {
	for _, ref := range g.arbiters() {
		ts := g.stateOf(ref.Name)
		if ref.Name != target && ts.acked && ts.confirmedOrderAt.within(now, 3*g.params.AuthorityTTL/4) {
			return true
		}
	}
	return false
}
