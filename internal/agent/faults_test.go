package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/statechart"
)

// changeSteps are the calls by which a change of configuration comes into force, from the
// operator's file to the daemons. No code interprets this chart. The scenario reports each call
// under the name of its step, and a call without a step fails.
const changeSteps = `{
	"name": "configchange",
	"initial": "draft",
	"states": ["draft", "read", "stored", "watched", "relayed", "in force"],
	"events": ["get", "put", "watch", "pull", "load"],
	"transitions": [
		{"from": "draft", "event": "get", "to": "read", "why": "hqctl reads the stored object"},
		{"from": "read", "event": "put", "to": "stored", "why": "hqctl writes over the version read"},
		{"from": "stored", "event": "watch", "to": "watched", "why": "an agent that watches takes the event or a listing"},
		{"from": "watched", "event": "pull", "to": "relayed", "why": "another agent takes the delta or a snapshot from a peer"},
		{"from": "relayed", "event": "load", "to": "in force", "why": "a daemon takes it from its agent"}
	]
}`

const (
	noTargets = "a change of configuration passes through no target and no request"
	noLease   = "nobody holds a lease on configuration: each write is conditional on the version read"
)

// changeFaults has an entry for each fault: how it is injected and how long it lasts, or why it
// cannot affect a change.
var changeFaults = map[faults.Fault]struct {
	impossible string
	duration   time.Duration
	inject     func(*changeScenario)
}{
	faults.None:            {inject: func(*changeScenario) {}},
	faults.Partition:       {duration: 3 * time.Second, inject: func(cs *changeScenario) { cs.partition(3 * time.Second) }},
	faults.Pause:           {duration: 3 * time.Second, inject: func(cs *changeScenario) { cs.pause(0, 3*time.Second) }},
	faults.EntryLost:       {duration: time.Second, inject: func(cs *changeScenario) { cs.stopDaemon(2) }},
	faults.DispatchLost:    {duration: time.Second, inject: func(cs *changeScenario) { cs.stopDaemon(1) }},
	faults.AgentLost:       {duration: 3 * time.Second, inject: func(cs *changeScenario) { cs.stopVM(0, 3*time.Second) }},
	faults.TargetFrozen:    {impossible: noTargets},
	faults.TargetLost:      {impossible: noTargets},
	faults.StoreDown:       {duration: 10 * time.Second, inject: func(cs *changeScenario) { cs.downUntil = time.Now().Add(10 * time.Second) }},
	faults.StoreSlow:       {duration: 10 * time.Second, inject: func(cs *changeScenario) { cs.slowUntil = time.Now().Add(10 * time.Second) }},
	faults.StoreAnswerLost: {inject: func(cs *changeScenario) { cs.loseAnswer = true }},
	faults.LeaseLapsed:     {impossible: noLease},
	faults.OperatorsRace:   {inject: (*changeScenario).startRival},
	faults.CrashingRequest: {impossible: noTargets},
	faults.VMLeaves:        {inject: func(cs *changeScenario) { cs.stopVM(0, time.Hour) }},
	faults.TargetLeaves:    {impossible: noTargets},
	faults.DataCentreLost:  {duration: 3 * time.Second, inject: func(cs *changeScenario) { cs.stopVM(0, 3*time.Second); cs.stopVM(1, 3*time.Second) }},
	faults.TargetLostTwice: {impossible: noTargets},
	faults.PartitionTwice: {duration: 5 * time.Second, inject: func(cs *changeScenario) {
		cs.partition(time.Second)
		time.AfterFunc(1537*time.Millisecond, func() { cs.mu.Lock(); defer cs.mu.Unlock(); cs.partition(3 * time.Second) })
	}},
	faults.TargetAndStore:   {impossible: noTargets + ": see store down"},
	faults.AgentAndTarget:   {impossible: noTargets + ": see agent lost"},
	faults.PauseInPartition: {duration: 3 * time.Second, inject: func(cs *changeScenario) { cs.partition(3 * time.Second); cs.pause(1, 3*time.Second) }},
}

const changeAbout = `An operator applies a contract with ctl.Apply to an in-memory store, wrapped to inject its faults. Three
agents with their real configuration code receive it: the first running agent by a watch, the others by
deltas and snapshots from peers. One daemon on each VM loads it from its agent. The steps are the calls in
this sequence; they are not in a file of charts. Calls take virtual time only: 5 ms, or 1.5 s while the
store is slow. Each cell shows what the operator received (accepted, conflict, or unavailable: nothing was
written), and how many seconds after the end of the fault or the acceptance, whichever is later, the stored
version was in force on every running VM.

Checked every 100 ms: no agent's revision and no daemon's version of the contract decreases between
restarts. Checked at the end: the store holds the change accepted last; a refused change was not written;
one of two racing operators got a conflict (internal/ctl's test covers every order of their calls); the
stored version is in force everywhere.`

// Guards against an accepted change that is not in force on some VM or is reverted, and against
// one of two concurrent changes being lost without an error, after a fault between the operator's
// file and the daemons. docs/faults/configchange.md shows the outcome of each fault at each step.
func TestFaultsAtStepsOfConfigurationChange(t *testing.T) {
	chart, err := statechart.Parse("steps", []byte(changeSteps))
	require.NoError(t, err)
	m := faults.New(chart, changeAbout)
	for _, step := range faults.Steps(chart) {
		for _, f := range faults.All() {
			b, ok := changeFaults[f]
			require.True(t, ok, "no case for fault %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(string(f)+" at "+faults.StepName(step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m.Set(f, step, newChangeScenario(t, chart, step, b.inject, b.duration).run())
				})
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
