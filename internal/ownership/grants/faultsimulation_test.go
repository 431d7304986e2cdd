package grants

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// faultSimulation runs one cell of the fault matrix: agents, targets and the store, with a
// fault at a transition of the first agent.
type faultSimulation struct {
	*scenario
	step   statechart.Transition
	setup  setup
	inject func(*faultSimulation)
	// reached says that the transition was taken; faultDue, that the fault is to be injected.
	reached, faultDue bool
	// pendingActions are the actions of setup that are due.
	pendingActions []func(*faultSimulation)
	seenEvents     map[statechart.Event]bool
	timers         []timer

	crashed, paused, isolated [simVMs]bool
	// isolatedTarget is the target on the isolated agent's side, -1 for none.
	isolatedTarget      int
	lastHeard           [simVMs]time.Duration
	unreachable, frozen [simTargets]bool
	heldMessages        []message
	storeIsDown         bool
	storeLatency        time.Duration
	answersLost         bool
	noSyncUntil         [simVMs]time.Duration
	delayedProposals    []delayedProposal
}

type timer struct {
	at time.Duration
	do func(*faultSimulation)
}

type delayedProposal struct {
	due time.Duration
	proposal
}

const (
	// tickInterval is how often the daemons tick their groups.
	tickInterval = 15 * ms
	// unheardAfter is how long an agent is silent before it counts as lost.
	unheardAfter = 190 * ms
	observedTime = 8 * time.Second
)

// useDefaultTimes gives an agent the daemons' default timings, except for the release
// timeout, which is shortened to fit into a simulation.
func (sim *faultSimulation) useDefaultTimes(a *simAgent) {
	q := &a.groups[0].params
	q.RenewInterval, q.GrantTTL, q.AuthorityTTL, q.ClockMargin = 75*ms, 400*ms, 160*ms, 10*ms
	q.FastPathTimeout, q.UnservedTimeout, q.ReleaseTimeout = 25*ms, 1500*ms, 500*ms
}

func newFaultSimulation(t *testing.T, step statechart.Transition, s setup, inject func(*faultSimulation)) *faultSimulation {
	sim := &faultSimulation{scenario: newScenario(t, ""), step: step, setup: s, inject: inject, seenEvents: make(map[statechart.Event]bool), isolatedTarget: -1}
	if s.busy {
		sim.targets[0].running = 1
	}
	for _, a := range sim.agents {
		sim.useDefaultTimes(a)
	}
	sim.watchTransitions(sim.agents[0])
	if step.Event == "" {
		sim.reached, sim.faultDue = true, true
	}
	sim.after(300*ms, func(sim *faultSimulation) { sim.noteEvent(serving) })
	return sim
}

func (sim *faultSimulation) watchTransitions(a *simAgent) {
	note := func(s statechart.Transition) {
		if s == sim.step && !sim.reached {
			sim.reached, sim.faultDue = true, true
		}
		sim.noteEvent(s.Event)
	}
	a.groups[0].role.Watch(note)
	a.groups[0].grant.Watch(note)
}

func (sim *faultSimulation) noteEvent(e statechart.Event) {
	if do := sim.setup.at[e]; do != nil && !sim.seenEvents[e] {
		sim.seenEvents[e] = true
		sim.pendingActions = append(sim.pendingActions, do)
	}
}

// runPending injects the fault and performs the actions that the last transition made due.
func (sim *faultSimulation) runPending() {
	if sim.faultDue {
		sim.faultDue = false
		sim.inject(sim)
	}
	for len(sim.pendingActions) > 0 {
		do := sim.pendingActions[0]
		sim.pendingActions = sim.pendingActions[1:]
		do(sim)
	}
}

func (sim *faultSimulation) after(d time.Duration, do func(*faultSimulation)) {
	sim.timers = append(sim.timers, timer{sim.now + d, do})
}

// unservedFor simulates to the end and returns for how many seconds nobody owned the key.
func (sim *faultSimulation) unservedFor() string {
	var gap, stepAt time.Duration
	epoch := sim.store[0].Epoch
	for sim.now < observedTime || sim.reached && sim.now < stepAt+observedTime {
		sim.runTick()
		require.NoError(sim.t, sim.check())
		require.GreaterOrEqual(sim.t, sim.store[0].Epoch, epoch, "the epoch fell")
		epoch = sim.store[0].Epoch
		switch {
		case !sim.reached:
			stepAt = sim.now
		case sim.servingTarget() == "":
			gap += tickInterval
		}
		sim.now += tickInterval
	}
	require.NotEmpty(sim.t, sim.servingTarget(), "no target serves at the end")
	require.Equal(sim.t, sim.store[0].Owner.Name, sim.servingTarget(), "the record does not name the owner")
	require.Empty(sim.t, sim.store[0].MoveTo, "a move was left undone")
	return fmt.Sprintf("%.2f", gap.Seconds())
}

// runTick simulates everything that happens within one tick.
func (sim *faultSimulation) runTick() {
	for _, a := range slices.Clone(sim.timers) {
		if a.at <= sim.now {
			sim.timers = slices.DeleteFunc(sim.timers, func(b timer) bool { return b.at == a.at })
			a.do(sim)
			sim.runPending()
		}
	}
	sim.runPending()
	sim.updateHeartbeats()
	for i := range sim.agents {
		sim.runAgentOnce(i)
	}
	sim.writeAll()
	for i, a := range sim.agents {
		if sim.isRunning(i) && !a.storeCut && sim.now >= sim.noSyncUntil[i] && (sim.storeLatency == 0 || sim.now%sim.storeLatency == 0) {
			sim.syncAgent(a)
			sim.runPending()
		}
	}
}

func (sim *faultSimulation) isRunning(i int) bool { return !sim.crashed[i] && !sim.paused[i] }

// updateHeartbeats updates which agents receive heartbeats from which others.
func (sim *faultSimulation) updateHeartbeats() {
	for i, a := range sim.agents {
		a.storeCut = sim.storeIsDown || sim.isolated[i]
		if sim.isRunning(i) && !sim.isolated[i] {
			sim.lastHeard[i] = sim.now
		}
		for j := range sim.agents {
			a.suspect[j] = i != j && (sim.isolated[i] || sim.now-sim.lastHeard[j] > unheardAfter)
		}
	}
}

func (sim *faultSimulation) runAgentOnce(i int) {
	if !sim.isRunning(i) {
		return
	}
	a := sim.agents[i]
	orders := sim.tickOrders(a)
	sim.runPending()
	if sim.agents[i] != a || sim.crashed[i] {
		return // lost before it sent its orders
	}
	for _, m := range orders {
		sim.deliver(i, m)
	}
}

// deliver delivers an order to its target, or holds it while the sender is paused or
// the target is frozen.
func (sim *faultSimulation) deliver(i int, m message) {
	tgt := int(m.order.Target[1] - '0')
	switch {
	case sim.unreachable[tgt], sim.isolated[0] && (i == 0) != (tgt == sim.isolatedTarget):
		return
	case sim.paused[i] || sim.frozen[tgt]:
		sim.heldMessages = append(sim.heldMessages, m)
		return
	}
	sim.returnReports(sim.deliverTo([]message{m}, m.order.Target))
	sim.runPending()
}

// writeAll writes the proposals to the store. Their authors learn of the write at the next
// sync.
func (sim *faultSimulation) writeAll() {
	for _, d := range sim.proposals {
		if !d.agent.storeCut {
			sim.delayedProposals = append(sim.delayedProposals, delayedProposal{sim.now + sim.storeLatency, d})
		}
	}
	sim.proposals = nil
	var rest []delayedProposal
	for _, d := range sim.delayedProposals {
		if d.due > sim.now {
			rest = append(rest, d)
			continue
		}
		if sim.storeIsDown || d.base != sim.version {
			continue
		}
		sim.version++
		sim.store[0] = d.rec
		if sim.answersLost {
			sim.noSyncUntil[d.agent.vm[2]-'0'] = sim.now + time.Second
		}
	}
	sim.delayedProposals = rest
}

// writeRecord writes a record as the assigner does.
func (sim *faultSimulation) writeRecord(rec model.Group) {
	sim.version++
	sim.store[0] = rec
}

func (sim *faultSimulation) isolate(i int, d time.Duration) {
	sim.isolated[i] = true
	sim.after(d, func(sim *faultSimulation) { sim.isolated[i] = false })
}

// isolateWithOwner partitions the agent from everything except the owner.
func (sim *faultSimulation) isolateWithOwner(i int, d time.Duration) {
	sim.isolatedTarget = 0
	sim.isolate(i, d)
}

func (sim *faultSimulation) pause(i int, d time.Duration) {
	sim.paused[i] = true
	sim.after(d, func(sim *faultSimulation) {
		sim.paused[i] = false
		sim.deliverLate(i)
	})
}

func (sim *faultSimulation) freeze(tgt int, d time.Duration) {
	sim.frozen[tgt] = true
	sim.after(d, func(sim *faultSimulation) {
		sim.frozen[tgt] = false
		sim.deliverLate(0)
	})
}

func (sim *faultSimulation) deliverLate(i int) {
	late := sim.heldMessages
	sim.heldMessages = nil
	for _, m := range late {
		sim.deliver(i, m)
	}
}

// loseAgent crashes the first agent; a new incarnation starts after a second.
func (sim *faultSimulation) loseAgent() {
	sim.crashed[0] = true
	sim.after(time.Second, func(sim *faultSimulation) {
		sim.agents[0] = sim.startAgent("vm0")
		sim.useDefaultTimes(sim.agents[0])
		sim.watchTransitions(sim.agents[0])
		sim.crashed[0] = false
	})
}

// loseTarget crashes a target; its next incarnation can be reached after d.
func (sim *faultSimulation) loseTarget(tgt int, d time.Duration) {
	sim.restartTarget(tgt)
	sim.unreachable[tgt] = true
	sim.after(d, func(sim *faultSimulation) { sim.unreachable[tgt] = false })
}

func (sim *faultSimulation) storeDown(d time.Duration) {
	sim.storeIsDown = true
	sim.after(d, func(sim *faultSimulation) { sim.storeIsDown = false })
}
