package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/statechart"
)

// setup leads the first agent of a simulation to one transition of its charts. Each action
// is performed once, after the first transition with that event; the event "serving" comes
// 300 ms after the start.
type setup struct {
	// busy makes a request run on the owner that never ends.
	busy bool
	// at holds the action to perform after an event.
	at map[statechart.Event]func(*faultSimulation)
}

const serving statechart.Event = "serving"

func (sim *faultSimulation) orderMove() {
	rec := sim.store[0]
	rec.MoveTo = "t1"
	sim.writeRecord(rec)
}

func (sim *faultSimulation) newEpoch() {
	rec := sim.store[0]
	sim.writeRecord(ReplaceTargets(rec, rec.Owner, rec.Standby, rec.Witness, "planner-1"))
}

func (sim *faultSimulation) restartOwner() { sim.restartTarget(0) }

func on(e statechart.Event, do func(*faultSimulation)) map[statechart.Event]func(*faultSimulation) {
	return map[statechart.Event]func(*faultSimulation){e: do}
}

func transition(from statechart.State, e statechart.Event, to statechart.State) statechart.Transition {
	return statechart.Transition{From: from, Event: e, To: to}
}

// grantorSetups has an entry for each transition of charts/grantor.jsonc.
var grantorSetups = map[statechart.Transition]setup{
	{To: following}:                           {},
	transition(following, take, claiming):     {},
	transition(claiming, won, granting):       {},
	transition(claiming, stepDown, following): {at: on(take, (*faultSimulation).newEpoch)},
	transition(granting, stepDown, following): {at: on(serving, (*faultSimulation).newEpoch)},
}

// grantSetups has an entry for each transition of charts/grant.jsonc.
var grantSetups = map[statechart.Transition]setup{
	{To: none}:                               {},
	transition(none, grant, granted):         {},
	transition(granted, release, releasing):  {at: on(serving, (*faultSimulation).orderMove)},
	transition(releasing, released, none):    {at: on(serving, (*faultSimulation).orderMove)},
	transition(releasing, overdue, expiring): {busy: true, at: on(serving, (*faultSimulation).orderMove)},
	transition(granted, silent, none):        {at: on(serving, (*faultSimulation).restartOwner)},
	transition(releasing, silent, none): {busy: true, at: map[statechart.Event]func(*faultSimulation){
		serving: (*faultSimulation).orderMove, release: (*faultSimulation).restartOwner,
	}},
	transition(expiring, silent, none): {busy: true, at: on(serving, (*faultSimulation).orderMove)},
	transition(granted, end, none):     {at: on(serving, (*faultSimulation).newEpoch)},
	transition(releasing, end, none): {busy: true, at: map[statechart.Event]func(*faultSimulation){
		serving: (*faultSimulation).orderMove, release: (*faultSimulation).newEpoch,
	}},
	transition(expiring, end, none): {busy: true, at: map[statechart.Event]func(*faultSimulation){
		serving: (*faultSimulation).orderMove, overdue: (*faultSimulation).newEpoch,
	}},
}

// faultCase tells how a fault is injected, or why it cannot affect a grantor.
type faultCase struct {
	impossible string
	inject     func(*faultSimulation)
}

const noPart = "entries and dispatchers take no part in grants: they read the grant table, see request"

// faultCases has an entry for each fault.
var faultCases = map[faults.Fault]faultCase{
	faults.None:            {inject: func(*faultSimulation) {}},
	faults.Partition:       {inject: func(sim *faultSimulation) { sim.isolateWithOwner(0, 2*time.Second) }},
	faults.Pause:           {inject: func(sim *faultSimulation) { sim.pause(0, 150*ms) }},
	faults.EntryLost:       {impossible: noPart},
	faults.DispatchLost:    {impossible: noPart},
	faults.AgentLost:       {inject: (*faultSimulation).loseAgent},
	faults.TargetFrozen:    {inject: func(sim *faultSimulation) { sim.freeze(0, 1500*ms) }},
	faults.TargetLost:      {inject: func(sim *faultSimulation) { sim.loseTarget(0, time.Second) }},
	faults.StoreDown:       {inject: func(sim *faultSimulation) { sim.storeDown(3 * time.Second) }},
	faults.StoreSlow:       {inject: func(sim *faultSimulation) { sim.storeLatency = 510 * ms }},
	faults.StoreAnswerLost: {inject: func(sim *faultSimulation) { sim.answersLost = true }},
	faults.LeaseLapsed:     {inject: func(sim *faultSimulation) { sim.pause(0, 2*time.Second) }},
	faults.OperatorsRace:   {inject: func(sim *faultSimulation) { sim.newEpoch(); sim.after(15*ms, (*faultSimulation).newEpoch) }},
	faults.CrashingRequest: {inject: func(sim *faultSimulation) {
		sim.restartTarget(0)
		sim.after(300*ms, func(sim *faultSimulation) { sim.restartTarget(1) })
	}},
	faults.VMLeaves:       {inject: func(sim *faultSimulation) { sim.crashed[0] = true }},
	faults.TargetLeaves:   {inject: (*faultSimulation).orderMove},
	faults.DataCentreLost: {inject: func(sim *faultSimulation) { sim.loseAgent(); sim.loseTarget(2, time.Second) }},
	faults.TargetLostTwice: {inject: func(sim *faultSimulation) {
		sim.loseTarget(0, time.Second)
		sim.after(300*ms, func(sim *faultSimulation) { sim.loseTarget(1, time.Second) })
	}},
	faults.PartitionTwice: {inject: func(sim *faultSimulation) {
		sim.isolate(0, 500*ms)
		sim.after(700*ms, func(sim *faultSimulation) { sim.isolate(0, time.Second) })
	}},
	faults.TargetAndStore:   {inject: func(sim *faultSimulation) { sim.loseTarget(0, time.Second); sim.storeDown(3 * time.Second) }},
	faults.AgentAndTarget:   {inject: func(sim *faultSimulation) { sim.loseAgent(); sim.loseTarget(0, time.Second) }},
	faults.PauseInPartition: {inject: func(sim *faultSimulation) { sim.isolate(0, 2*time.Second); sim.pause(0, time.Second) }},
}

const matrixIntro = `Three agents and four targets, with the fences of the stand-in, are simulated in
steps of 15 ms, with the daemons' default times. The first agent is brought to the step, and the fault is
injected between its decision and the sending of the resulting orders. The owner is t0, the standby t1,
the witness t2. A release may take 500 ms here. Each cell shows for how many of the 8 s after the step, in
total, the key had no owner; in that time requests wait or are refused as not run.

In "partition" the agent and the owner are on the same side; in "partition, twice" the agent is isolated.

Checked after every 15 ms: no slice is served by two targets. Checked at the end: the slice is served by
the target that the store's record names as owner; every ordered move is completed; epochs in the store
never decreased.`

// Guards against a key that two targets answer, or that none answers though one could,
// after a fault between the decision to grant, release or step down and the sending of its
// orders. docs/faults/grantor.md and grant.md hold the result of each fault at each
// transition.
func TestFaultsAtStepsOfGrants(t *testing.T) {
	for _, c := range []struct {
		chart  *statechart.Chart
		setups map[statechart.Transition]setup
	}{{grantorChart, grantorSetups}, {grantChart, grantSetups}} {
		m := faults.New(c.chart, matrixIntro)
		for _, step := range faults.Steps(c.chart) {
			s, ok := c.setups[step]
			require.True(t, ok, "no setup for %s", faults.StepName(step))
			for _, f := range faults.All() {
				b, ok := faultCases[f]
				require.True(t, ok, "no fault case for %s", f)
				if b.impossible != "" {
					m.Impossible(f, step, b.impossible)
					continue
				}
				t.Run(string(f)+" at "+faults.StepName(step), func(t *testing.T) {
					sim := newFaultSimulation(t, step, s, b.inject)
					m.Set(f, step, sim.unservedFor())
					require.True(t, sim.reached, "the transition was never taken")
				})
			}
		}
		require.NoError(t, m.Compare("../../.."))
	}
}
