package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

var allTargetNames = []string{"t0", "t1", "t2", "t3"}

// listTargets lists targets a, b and c, in their first incarnation, as the arbiters.
func listTargets(rec *model.Group) {
	for i, ref := range []*model.TargetRef{&rec.Owner, &rec.Standby, &rec.Witness} {
		*ref = model.TargetRef{Name: string(rune('a' + i)), Incarnation: "1"}
	}
}

// servingTarget returns the target that serves group 0's first slice, or "".
func (s *scenario) servingTarget() string {
	for i, t := range s.targets {
		if t.fences.Serves(service, s.store[0].Slices[0].First, int64(t.clock.at(s.now))) {
			return targetName(i)
		}
	}
	return ""
}

// runMeasuringGap runs the agent for d and returns for how long no target served.
func (s *scenario) runMeasuringGap(d time.Duration, a *simAgent, names ...string) time.Duration {
	var gap time.Duration
	for until := s.now + d; s.now < until; {
		require.NoError(s.t, s.runAgent(20*ms, a, names...))
		s.writeProposal()
		s.syncAgent(a)
		if s.servingTarget() == "" {
			gap += 20 * ms
		}
	}
	return gap
}

// The owner crashes. The grantor stays, and the store is not needed: the standby must
// serve once the owner's last grant has expired, margin included.
func TestOwnerLost(t *testing.T) {
	s := newScenario(t, "")
	a := s.agents[0]
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	require.Equal(t, "t0", s.servingTarget())
	a.storeCut = true
	p := a.groups[0].params
	s.restartTarget(0) // it loses its grant, and nobody learns of the new incarnation
	require.NoError(t, s.runAgent(p.GrantTTL+p.ClockMargin+2*p.RenewInterval, a, "t1", "t2"))
	require.Equal(t, "t1", s.servingTarget())
}

// The grantor crashes during a store outage. The next in line must keep the owner
// granted, without a gap and without a move.
func TestGrantorLostWithoutStore(t *testing.T) {
	s := newScenario(t, "")
	require.NoError(t, s.runAgent(300*ms, s.agents[0], allTargetNames...))
	next := s.agents[1]
	next.storeCut = true
	s.suspectAll(next)
	for range 50 {
		require.NoError(t, s.runAgent(20*ms, next, allTargetNames...))
		require.Equal(t, "t0", s.servingTarget())
	}
}

// Owner and grantor crash at the same instant. The next in line writes an epoch, waits
// until the old grantor's authority and grant have expired, and grants the standby. The
// gap is the takeover time less what was left of the last grant, whose end counts from a
// clock value that the target reported up to one renewal earlier.
func TestBothLost(t *testing.T) {
	s := newScenario(t, "")
	require.NoError(t, s.runAgent(300*ms, s.agents[0], allTargetNames...))
	next := s.agents[1]
	s.suspectAll(next)
	p := next.groups[0].params
	gap := s.runMeasuringGap(3*time.Second, next, "t1", "t2")
	require.Equal(t, "t1", s.servingTarget())
	require.Less(t, gap, p.FastPathTimeout+p.AuthorityTTL+p.ClockMargin+p.RenewInterval+200*ms)
}

// The standby serves after the loss of the owner, and the assigner replaces the lost
// target. The lost target cannot be fenced at the new epoch, so the claim takes the slow
// path. The standby must be renewed throughout.
func TestReplacedTargetCostsNoGap(t *testing.T) {
	s := newScenario(t, "")
	a := s.agents[0]
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	s.runMeasuringGap(2*time.Second, a, "t1", "t2", "t3")
	require.Equal(t, "t1", s.servingTarget())
	s.setRecord(ReplaceTargets(s.store[0], s.ref(1), s.ref(3), s.ref(2), "planner-1"), a)
	require.Zero(t, s.runMeasuringGap(4*time.Second, a, "t1", "t2", "t3"))
	require.Equal(t, "t1", s.servingTarget())
	require.Equal(t, granting, a.groups[0].role.State())
}

// The record orders a move to the standby. The owner must take no new work and keep its
// grant until its last request has ended. Then the standby is granted, and the record
// names it as owner.
func TestPlannedMove(t *testing.T) {
	s := newScenario(t, "")
	a := s.agents[0]
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	s.targets[0].running = 1
	rec := s.store[0]
	rec.MoveTo = "t1"
	s.setRecord(rec, a)
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	require.Empty(t, s.servingTarget())
	require.Greater(t, a.groups[0].stateOf("t0").heldUntil, a.clock.at(s.now), "the grant must be kept")
	s.targets[0].running = 0
	s.runMeasuringGap(500*ms, a, allTargetNames...)
	require.Equal(t, "t1", s.servingTarget())
	require.Equal(t, "t1", s.store[0].Owner.Name)
	require.Empty(t, s.store[0].MoveTo)
	require.EqualValues(t, 1, s.store[0].Epoch)
}

// A request hangs on the old owner. The move must wait for it no longer than
// ReleaseTimeout, and then until the grant has expired.
func TestMoveOverdue(t *testing.T) {
	s := newScenario(t, "")
	a := s.agents[0]
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	s.targets[0].running = 1
	rec := s.store[0]
	rec.MoveTo = "t1"
	s.setRecord(rec, a)
	p := a.groups[0].params
	require.NoError(t, s.runAgent(p.ReleaseTimeout+p.GrantTTL+p.ClockMargin+2*p.RenewInterval, a, allTargetNames...))
	require.Equal(t, "t1", s.servingTarget())
}

// The first in line exchanges heartbeats with its peers but reaches no target. The next
// in line must take over all the same.
func TestGrantorCutOffFromTargets(t *testing.T) {
	s := newScenario(t, "")
	next := s.agents[1]
	require.NoError(t, s.runAgent(next.groups[0].params.UnservedTimeout+500*ms, next, allTargetNames...))
	require.Equal(t, "t0", s.servingTarget())
}

// The targets do not check fences, so nothing would stop the old owner. Only the
// recorded owner may be granted.
func TestNoTakeoverWithoutFenceChecks(t *testing.T) {
	s := newScenario(t, "")
	a := s.agents[0]
	a.groups[0].params.ChecksFences = false
	require.NoError(t, s.runAgent(300*ms, a, allTargetNames...))
	require.Equal(t, "t0", s.servingTarget())
	require.NoError(t, s.runAgent(4*time.Second, a, "t1", "t2"))
	require.Empty(t, s.servingTarget())
}

// Guards against idle VMs reading the store: nine of them read it 40 times a second, from
// a budget that the whole system shares and needs after a loss. An answer that was 15 ms
// late, to a renewal sent one tick late, was taken for a missing one.
func TestSteadyGrantorDoesNotReadStore(t *testing.T) {
	const tick = 15 * ms
	p := Params{VM: "vm1", Incarnation: "vm1-1", Started: 1, ChecksFences: true,
		RenewInterval: 80 * ms, GrantTTL: 450 * ms, AuthorityTTL: 160 * ms, ClockMargin: 10 * ms, FastPathTimeout: 25 * ms, UnservedTimeout: 1500 * ms}
	rec := model.Group{Epoch: 1, Author: "vm2-1", Grantors: []string{"vm1"}}
	listTargets(&rec)
	g := New(p, rec, 0)
	var sent []Order
	isolatedAfter, needed := 5*time.Second, false
	for now := tick; now < isolatedAfter+p.AuthorityTTL; now += tick {
		for _, o := range sent {
			if now > isolatedAfter && o.Target != "a" {
				continue
			}
			g.HandleReport(&o, &Report{Incarnation: "1", Clock: int64(now), Confirmed: true, Fence: o.Rank, HeldUntil: o.Until, HeldRank: o.Rank}, now)
		}
		sent = g.Tick(now, Observation{Live: func(string) bool { return true }, Served: true})
		needed = needed || now > time.Second && g.NeedsStore(now)
		if now < isolatedAfter {
			require.False(t, needed, "at %v", now)
		}
	}
	require.True(t, needed, "with standby and witness silent, only the store gives authority")
}

// A data centre is lost while the store is down, and with it the grantor and the witness
// of a group. Both targets of the pair are alive, yet their keys waited for the end of the
// outage: the fast path required the witness too, which no grant needs once the pair is
// fenced.
func TestGrantorAndWitnessLostWithoutStore(t *testing.T) {
	s := newScenario(t, "")
	require.NoError(t, s.runAgent(300*ms, s.agents[0], allTargetNames...))
	next := s.agents[1]
	next.storeCut = true
	s.suspectAll(next)
	for range 50 {
		require.NoError(t, s.runAgent(20*ms, next, "t0", "t1"))
		require.Equal(t, "t0", s.servingTarget())
	}
	require.Equal(t, granting, next.groups[0].role.State())
}

// Guards against keys without service for 2.8 s. The second in line took over briefly and
// is then lost while the store is down. The first is alive but outranked, and the third
// waited for it until its wait ran out.
func TestThirdDoesNotWaitForOutrankedFirst(t *testing.T) {
	p := Params{VM: "vm3", Incarnation: "vm3-1", Started: 1, ChecksFences: true,
		RenewInterval: 75 * ms, GrantTTL: 400 * ms, AuthorityTTL: 160 * ms, ClockMargin: 10 * ms, FastPathTimeout: 25 * ms, UnservedTimeout: 1500 * ms}
	rec := model.Group{Epoch: 7, Author: "vm1-1", Grantors: []string{"vm1", "vm2", "vm3"}}
	listTargets(&rec)
	lost := func(vm string) bool { return vm != "vm2" }
	for _, c := range []struct {
		name    string
		highest wire.Rank
		live    func(string) bool
		claims  bool
	}{
		{"second took over and is lost", wire.Rank{Epoch: 7, Succession: 1, Agent: "vm2"}, lost, true},
		{"second took over and is live", wire.Rank{Epoch: 7, Succession: 1, Agent: "vm2"}, func(string) bool { return true }, false},
		{"second took over at an earlier epoch", wire.Rank{Epoch: 6, Succession: 1, Agent: "vm2"}, lost, false},
		{"first is the grantor", wire.Rank{Epoch: 7, Agent: "vm1"}, lost, false},
		{"no grant reported", wire.Rank{}, lost, false},
	} {
		g := New(p, rec, time.Second)
		orders := g.Tick(time.Second, Observation{Live: c.live, HighestRank: c.highest})
		require.Equal(t, c.claims, len(orders) > 0, c.name)
	}
}
