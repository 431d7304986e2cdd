package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
)

const noRequests = "no request, entry or dispatcher takes part in the planning of a move; the effect of a move on requests is shown in grant and request"

// moveFaults has an entry for each fault: why it cannot occur, or how to inject it.
var moveFaults = map[faults.Fault]struct {
	impossible string
	inject     func(*moveSimulation)
}{
	faults.None:            {inject: func(*moveSimulation) {}},
	faults.Partition:       {inject: func(p *moveSimulation) { p.partition(5 * time.Second) }},
	faults.Pause:           {inject: func(p *moveSimulation) { p.pausedTo = p.in.Now + 4*time.Second }},
	faults.EntryLost:       {impossible: noRequests},
	faults.DispatchLost:    {impossible: noRequests},
	faults.AgentLost:       {inject: func(p *moveSimulation) { p.restart(7 * time.Second) }},
	faults.TargetFrozen:    {inject: func(p *moveSimulation) { p.loseTarget(p.to, 3*time.Second) }},
	faults.TargetLost:      {inject: func(p *moveSimulation) { p.loseTarget(p.to, time.Hour) }},
	faults.StoreDown:       {inject: func(p *moveSimulation) { p.storeDown(15 * time.Second) }},
	faults.StoreSlow:       {inject: func(p *moveSimulation) { p.slowTo = p.in.Now + 30*time.Second }},
	faults.StoreAnswerLost: {inject: func(p *moveSimulation) { p.loseAnswers = 2 }},
	faults.LeaseLapsed:     {inject: (*moveSimulation).lapseLease},
	faults.OperatorsRace:   {inject: (*moveSimulation).raceOperators},
	faults.CrashingRequest: {inject: func(p *moveSimulation) {
		p.loseTarget(p.from, time.Second)
		p.after(time.Second, func(p *moveSimulation) { p.loseTarget(p.to, time.Second) })
	}},
	faults.VMLeaves:       {inject: func(p *moveSimulation) { p.in.VMs = p.in.VMs[1:] }},
	faults.TargetLeaves:   {inject: func(p *moveSimulation) { p.in.Leaving[p.to] = true }},
	faults.DataCentreLost: {inject: func(p *moveSimulation) { p.loseTarget(p.to, time.Hour); p.restart(7 * time.Second) }},
	faults.TargetLostTwice: {inject: func(p *moveSimulation) {
		p.loseTarget(p.to, time.Hour)
		p.after(2*time.Second, func(p *moveSimulation) { p.loseTarget(p.from, 10*time.Second) })
	}},
	faults.PartitionTwice: {inject: func(p *moveSimulation) {
		p.partition(3 * time.Second)
		p.after(4*time.Second, func(p *moveSimulation) { p.partition(5 * time.Second) })
	}},
	faults.TargetAndStore:   {inject: func(p *moveSimulation) { p.loseTarget(p.to, time.Hour); p.storeDown(10 * time.Second) }},
	faults.AgentAndTarget:   {inject: func(p *moveSimulation) { p.loseTarget(p.from, 10*time.Second); p.restart(7 * time.Second) }},
	faults.PauseInPartition: {inject: func(p *moveSimulation) { p.partition(8 * time.Second); p.pausedTo = p.in.Now + 4*time.Second }},
}

const moveAbout = `The real planner moves a group to a target that is not yet its standby. It runs every 500 ms. The
store accepts a plan only if it was made from the current record. Fakes simulate the grantors, which adopt
an epoch after 2 s and carry out a move in 1.5 s. The fault is injected after the planner's run in which the
step was taken. Each cell shows where the group is after 60 s: moved, stayed, or elsewhere (on neither
target, because one was lost or left). The planner continues to balance the number of groups, so a target
that returns may get its group back. Requests in flight are covered by grant.

Checked every 500 ms: the owner is neither the standby nor the witness; an intent names the standby; no
epoch decreases. Checked at the end: no move is unfinished, in the record or in the planner; the record's
owner serves and is not lost.`

// Guards against a group that is left between two targets, or an intent that is never
// removed, after a fault between planning, adopting, ordering and recording a move.
// docs/faults/move.md shows the outcome of each fault at each step.
func TestFaultsAtStepsOfMove(t *testing.T) {
	m := faults.New(moveChart, moveAbout)
	for _, step := range faults.Steps(moveChart) {
		l, ok := stepPreludes[step]
		require.True(t, ok, "no prelude for step %s", faults.StepName(step))
		for _, f := range faults.All() {
			b, ok := moveFaults[f]
			require.True(t, ok, "no fault injection for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(string(f)+" at "+faults.StepName(step), func(t *testing.T) {
				p := newMoveSimulation(t, step, l.ordered, b.inject)
				if l.begin != nil {
					l.begin(p)
				}
				m.Set(f, step, p.runFault())
			})
		}
	}
	require.NoError(t, m.Compare("../../.."))
}
