package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/statechart"
)

// lead brings the first agent of a play through one step of its charts. Each part
// is done once, when the step of that name was taken; "serving" is 300 ms after
// the beginning.
type lead struct {
	// busy has a request run on the owner that never ends.
	busy bool
	// at says what to do when an event was taken.
	at map[statechart.Event]func(*play)
}

const serving statechart.Event = "serving"

func (p *play) orderMove() {
	rec := p.store[0]
	rec.MoveTo = "t1"
	p.publish(rec)
}

func (p *play) newEpoch() {
	rec := p.store[0]
	p.publish(ChangePair(rec, rec.Owner, rec.Standby, rec.Witness, "planner-1"))
}

func (p *play) restartOwner() { p.restartTarget(0) }

func on(e statechart.Event, do func(*play)) map[statechart.Event]func(*play) {
	return map[statechart.Event]func(*play){e: do}
}

func transition(from statechart.State, e statechart.Event, to statechart.State) statechart.Transition {
	return statechart.Transition{From: from, Event: e, To: to}
}

// grantorLeads has an entry for each step of charts/grantor.jsonc.
var grantorLeads = map[statechart.Transition]lead{
	{To: following}:                           {},
	transition(following, take, claiming):     {},
	transition(claiming, won, granting):       {},
	transition(claiming, stepDown, following): {at: on(take, (*play).newEpoch)},
	transition(granting, stepDown, following): {at: on(serving, (*play).newEpoch)},
}

// grantLeads has an entry for each step of charts/grant.jsonc.
var grantLeads = map[statechart.Transition]lead{
	{To: none}:                               {},
	transition(none, grant, granted):         {},
	transition(granted, release, releasing):  {at: on(serving, (*play).orderMove)},
	transition(releasing, released, none):    {at: on(serving, (*play).orderMove)},
	transition(releasing, overdue, expiring): {busy: true, at: on(serving, (*play).orderMove)},
	transition(granted, silent, none):        {at: on(serving, (*play).restartOwner)},
	transition(releasing, silent, none): {busy: true, at: map[statechart.Event]func(*play){
		serving: (*play).orderMove, release: (*play).restartOwner,
	}},
	transition(expiring, silent, none): {busy: true, at: on(serving, (*play).orderMove)},
	transition(granted, end, none):     {at: on(serving, (*play).newEpoch)},
	transition(releasing, end, none): {busy: true, at: map[statechart.Event]func(*play){
		serving: (*play).orderMove, release: (*play).newEpoch,
	}},
	transition(expiring, end, none): {busy: true, at: map[statechart.Event]func(*play){
		serving: (*play).orderMove, overdue: (*play).newEpoch,
	}},
}

// breakage is a fault as the grantor of a group meets it.
type breakage struct {
	impossible string
	inject     func(*play)
}

const noPart = "entries and dispatchers take no part in grants: they read the grant table, see request"

// breakages has an entry for each fault.
var breakages = map[faults.Fault]breakage{
	faults.None:            {inject: func(*play) {}},
	faults.Partition:       {inject: func(p *play) { p.isolateWithOwner(0, 2*time.Second) }},
	faults.Pause:           {inject: func(p *play) { p.pause(0, 150*ms) }},
	faults.EntryLost:       {impossible: noPart},
	faults.DispatchLost:    {impossible: noPart},
	faults.AgentLost:       {inject: (*play).loseAgent},
	faults.TargetFrozen:    {inject: func(p *play) { p.freeze(0, 1500*ms) }},
	faults.TargetLost:      {inject: func(p *play) { p.loseTarget(0, time.Second) }},
	faults.StoreDown:       {inject: func(p *play) { p.storeDown(3 * time.Second) }},
	faults.StoreSlow:       {inject: func(p *play) { p.storeSlow = 510 * ms }},
	faults.StoreAnswerLost: {inject: func(p *play) { p.answersLost = true }},
	faults.LeaseLapsed:     {inject: func(p *play) { p.pause(0, 2*time.Second) }},
	faults.OperatorsRace:   {inject: func(p *play) { p.newEpoch(); p.after(15*ms, (*play).newEpoch) }},
	faults.CrashingRequest: {inject: func(p *play) { p.restartTarget(0); p.after(300*ms, func(p *play) { p.restartTarget(1) }) }},
	faults.VMLeaves:        {inject: func(p *play) { p.dead[0] = true }},
	faults.TargetLeaves:    {inject: (*play).orderMove},
	faults.DataCentreLost:  {inject: func(p *play) { p.loseAgent(); p.loseTarget(2, time.Second) }},
	faults.TargetLostTwice: {inject: func(p *play) {
		p.loseTarget(0, time.Second)
		p.after(300*ms, func(p *play) { p.loseTarget(1, time.Second) })
	}},
	faults.PartitionTwice:   {inject: func(p *play) { p.isolate(0, 500*ms); p.after(700*ms, func(p *play) { p.isolate(0, time.Second) }) }},
	faults.TargetAndStore:   {inject: func(p *play) { p.loseTarget(0, time.Second); p.storeDown(3 * time.Second) }},
	faults.AgentAndTarget:   {inject: func(p *play) { p.loseAgent(); p.loseTarget(0, time.Second) }},
	faults.PauseInPartition: {inject: func(p *play) { p.isolate(0, 2*time.Second); p.pause(0, time.Second) }},
}

const grantAbout = `Three agents and four targets, with the fences of the stand-in, are played in
steps of 15 ms, with the daemons' default times; the first agent is led to the step. The fault comes between the
decision and the sending of its orders. The owner is t0, the standby t1, the witness t2.
A release may take 500 ms here. Each cell shows how long in all
nobody owned the key in the 8 s after the step, in seconds; requests wait or are refused as
not run in that time.

In "partition" the agent and the owner are on one side, in "partition, twice" the agent is alone.

Checked after every 15 ms: no slice is served by two targets; at the end: it is served, by the target that
the store's record names as owner; no ordered move is left undone; epochs in
the store never fell.`

// A key is answered by two targets, or by none for long, though one could: the
// fault came in between the decision to grant, release or step down and its
// order. docs/faults/grantor.md and grant.md show each fault at each step.
func TestFaultsAtStepsOfGrants(t *testing.T) {
	for _, c := range []struct {
		chart *statechart.Chart
		leads map[statechart.Transition]lead
	}{{standingChart, grantorLeads}, {grantChart, grantLeads}} {
		m := faults.New(c.chart, grantAbout)
		for _, step := range faults.Steps(c.chart) {
			l, ok := c.leads[step]
			require.True(t, ok, "nothing leads to %s", faults.Name(step))
			for _, f := range faults.All() {
				b, ok := breakages[f]
				require.True(t, ok, "no entry for %s", f)
				if b.impossible != "" {
					m.Impossible(f, step, b.impossible)
					continue
				}
				t.Run(string(f)+" at "+faults.Name(step), func(t *testing.T) {
					p := newPlay(t, step, l, b.inject)
					m.Set(f, step, p.unservedFor())
					require.True(t, p.taken, "nothing led to the step")
				})
			}
		}
		require.NoError(t, m.Compare("../../.."))
	}
}
