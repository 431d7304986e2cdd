package grants

import (
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/wire"
)

// Observation is what heartbeats report.
type Observation struct {
	// Live reports whether a VM's agent is heard.
	Live func(vm string) bool
	// Served says that a live agent reports a grant of the group.
	Served bool
	// HighestRank is the highest rank of a grant of the group that any agent reported,
	// living or not; zero where none was reported.
	HighestRank wire.Rank
}

// Tick moves the group on and returns the orders to send now. It may be called
// as often as one likes: orders come each Every, and at once where something
// changed.
func (g *Group) Tick(now time.Duration, observation Observation) []Order {
	if observation.Served || !g.unserved.ok {
		g.unserved = stamp{now, true}
	}
	if g.standing.State() == following && g.myTurn(now, observation) && !g.barred() && g.outranked == (wire.Rank{}) {
		g.took, g.due = now, true
		_ = g.standing.Fire(take)
	}
	if g.standing.State() == following {
		return nil
	}
	if g.standing.State() == claiming && g.mayWin(now) {
		_ = g.standing.Fire(won)
	}
	g.steer(now)
	if !g.due && now-g.sent < g.params.RenewInterval {
		return nil
	}
	g.due, g.sent = false, now
	return g.orders(now)
}

// myTurn reports whether the agent is in the line and all before it are lost, or
// heard but without success.
//
// Failure: the grantor is cut off from the targets and not from its peers. It
// shows as a group without service though all agents are alive. Each in the line
// waits longer than the one before, so that they do not outrank each other.
func (g *Group) myTurn(now time.Duration, observation Observation) bool {
	if g.place < 0 {
		return false
	}
	for _, vm := range g.rec.Grantors[g.mayClaim(observation):g.place] {
		if observation.Live(vm) {
			return g.idleFor(now) > time.Duration(g.place)*g.params.UnservedTimeout
		}
	}
	return true
}

// mayClaim returns the first place in the line that can still win at this epoch.
//
// Failure: the second in line took over for a moment and is lost later, while the
// store is down. The first is alive, so the third waits for it; but targets refuse
// the first's rank, which is below the second's, and a new epoch needs the store. It
// shows as keys without service until the store is back or the third lost patience.
func (g *Group) mayClaim(observation Observation) int {
	h := observation.HighestRank
	if h.Epoch != g.rec.Epoch || h.Succession > uint64(g.place) {
		return 0
	}
	return int(h.Succession)
}

func (g *Group) idleFor(now time.Duration) time.Duration { return now - g.unserved.at }

// barred reports whether the epoch was written by another life of this agent.
//
// Failure: a VM was replaced under its name while its old agent, only frozen,
// goes on. Both would use the epoch, and the store would confirm both: the old
// one renews its target while the new one takes the slow path.
func (g *Group) barred() bool {
	if g.broken == reusesEpoch {
		return false
	}
	return g.rec.Author != g.params.Incarnation && sameVM(g.rec.Author, g.params.VM)
}

// sameVM reports whether an incarnation VM-STARTED is of the VM.
func sameVM(incarnation, vm string) bool {
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

// steer moves the grant on.
func (g *Group) steer(now time.Duration) {
	if g.grant.State() != none {
		g.watch(now)
	}
	if g.grant.State() != none {
		return
	}
	if name, ok := g.choose(now); ok {
		g.target = name
		g.note("granted to " + name)
		g.due = true
		_ = g.grant.Fire(grant)
	}
}

// watch ends the grant of a target that is lost, and begins planned moves.
func (g *Group) watch(now time.Duration) {
	c := g.contact(g.target)
	switch {
	case c.restarted, c.out() <= now && (c.sentUntil > 0 || g.broken == keptAfterSend && !c.asked.within(now, g.params.AuthorityTTL)):
		g.note("target " + g.target + " lost or out of authority")
		_ = g.grant.Fire(silent)
		g.target = ""
	case g.grant.State() == granted && g.shallMove(now):
		g.releaseFrom = now
		g.note("planned move from " + g.target + " to " + g.rec.MoveTo)
		g.due = true
		_ = g.grant.Fire(release)
	case g.grant.State() == releasing && now-g.releaseFrom > g.params.ReleaseTimeout:
		g.note("release by " + g.target + " overdue: waiting its grant out")
		_ = g.grant.Fire(overdue)
	}
}

func (g *Group) shallMove(now time.Duration) bool {
	to := g.other(g.target)
	return g.standing.State() == granting && g.rec.MoveTo != "" && g.rec.MoveTo == to.Name && g.serviceable(to, now)
}

// orders returns one order for each target that the takeover covers. While it
// claims, the owner is asked after the others: a claim that reaches nobody else
// then does not stop the old grantor's renewals.
func (g *Group) orders(now time.Duration) []Order {
	var out []Order
	for i, ref := range g.all() {
		if i == 0 && g.holdBack(now) {
			continue
		}
		g.seq++
		o := Order{Target: ref.Name, Incarnation: ref.Incarnation, Rank: g.rank, Seq: g.seq, CreatedAt: now}
		if c := g.contact(ref.Name); g.broken == acceptsUnlisted && c.incarnation != "" {
			o.Incarnation = c.incarnation
		}
		if ref.Name == g.target {
			g.renew(&o, now)
		}
		out = append(out, o)
	}
	return out
}

// holdBack reports whether the owner is not asked yet.
func (g *Group) holdBack(now time.Duration) bool {
	if g.standing.State() != claiming || len(g.arbiters()) == 1 || now-g.took > g.params.FastPathTimeout/2 {
		return false
	}
	for _, ref := range g.arbiters()[1:] {
		if c := g.contact(ref.Name); c.acked || c.restarted || ref.Incarnation == "" {
			return false
		}
	}
	return true
}

// renew turns the question into a grant, if rule 1 holds. The end counts from a
// clock value that the target showed before: a late order is out on arrival.
func (g *Group) renew(o *Order, now time.Duration) {
	state := g.grant.State()
	if state == releasing || state == expiring {
		o.Release = g.rec.Slices
	}
	if state == expiring || !g.authority(g.target, now) {
		return
	}
	c := g.contact(g.target)
	o.Slices = append([]keyspace.Slice(nil), g.rec.Slices...)
	o.Until = c.clock + int64(g.params.GrantTTL)
	if g.broken != keptAfterSend {
		c.sentUntil = max(c.sentUntil, c.clockAt+g.params.GrantTTL+g.margin())
	}
}

// Idle reports whether this agent does not grant the group, or in vain for long.
func (g *Group) Idle(now time.Duration) bool {
	return g.standing.State() == following || g.confirmedAt.ok && now-g.confirmedAt.at > g.params.UnservedTimeout
}

// NeedsStore reports whether only the store can give authority now.
func (g *Group) NeedsStore(now time.Duration) bool {
	if g.standing.State() == following {
		return false
	}
	for _, ref := range g.pair() {
		if g.serviceable(ref, now) && (g.target == "" || g.target == ref.Name) && !g.targetAuthority(ref.Name, now) {
			return true
		}
	}
	return false
}

// targetAuthority is authority by targets that lasts for another quarter, within
// which the store answers. Renewals leave every Every and a look, and are answered
// within milliseconds: an age of half of Authority (two renewals) was reached by
// every late look, and each such look read the store. An age of three quarters
// means that an answer is missing.
func (g *Group) targetAuthority(target string, now time.Duration) bool {
	for _, ref := range g.arbiters() {
		c := g.contact(ref.Name)
		if ref.Name != target && c.acked && c.asked.within(now, 3*g.params.AuthorityTTL/4) {
			return true
		}
	}
	return false
}
