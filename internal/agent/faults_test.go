package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/statechart"
)

// changeSteps are the calls by which a change of configuration comes from the
// operator's file into force. No code interprets a chart of them; the play
// notes each call under the name of its step, and a call that has no step fails.
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

// changeBreakages has an entry for each fault: why it cannot be, or what it does.
// lasts is the fault's length.
var changeBreakages = map[faults.Fault]struct {
	impossible string
	lasts      time.Duration
	inject     func(*changePlay)
}{
	faults.None:            {inject: func(*changePlay) {}},
	faults.Partition:       {lasts: 3 * time.Second, inject: func(p *changePlay) { p.cut(3 * time.Second) }},
	faults.Pause:           {lasts: 3 * time.Second, inject: func(p *changePlay) { p.pause(0, 3*time.Second) }},
	faults.EntryLost:       {lasts: time.Second, inject: func(p *changePlay) { p.loseDaemon(2) }},
	faults.DispatchLost:    {lasts: time.Second, inject: func(p *changePlay) { p.loseDaemon(1) }},
	faults.AgentLost:       {lasts: 3 * time.Second, inject: func(p *changePlay) { p.lose(0, 3*time.Second) }},
	faults.TargetFrozen:    {impossible: noTargets},
	faults.TargetLost:      {impossible: noTargets},
	faults.StoreDown:       {lasts: 10 * time.Second, inject: func(p *changePlay) { p.downTo = time.Now().Add(10 * time.Second) }},
	faults.StoreSlow:       {lasts: 10 * time.Second, inject: func(p *changePlay) { p.slowTo = time.Now().Add(10 * time.Second) }},
	faults.StoreAnswerLost: {inject: func(p *changePlay) { p.loseAnswer = true }},
	faults.LeaseLapsed:     {impossible: noLease},
	faults.OperatorsRace:   {inject: (*changePlay).rival},
	faults.CrashingRequest: {impossible: noTargets},
	faults.VMLeaves:        {inject: func(p *changePlay) { p.lose(0, time.Hour) }},
	faults.TargetLeaves:    {impossible: noTargets},
	faults.DataCentreLost:  {lasts: 3 * time.Second, inject: func(p *changePlay) { p.lose(0, 3*time.Second); p.lose(1, 3*time.Second) }},
	faults.TargetLostTwice: {impossible: noTargets},
	faults.PartitionTwice: {lasts: 5 * time.Second, inject: func(p *changePlay) {
		p.cut(time.Second)
		time.AfterFunc(1537*time.Millisecond, func() { p.mu.Lock(); defer p.mu.Unlock(); p.cut(3 * time.Second) })
	}},
	faults.TargetAndStore:   {impossible: noTargets + ": see store down"},
	faults.AgentAndTarget:   {impossible: noTargets + ": see agent lost"},
	faults.PauseInPartition: {lasts: 3 * time.Second, inject: func(p *changePlay) { p.cut(3 * time.Second); p.pause(1, 3*time.Second) }},
}

const changeAbout = `An operator applies a contract by ctl.Apply, over a store in memory with a wrapper for its faults; three
agents' real configurations follow it, the first that runs by a watch, the others by deltas and snapshots from peers,
and one daemon on each VM takes it from its agent. The steps are the calls on the way; no chart in charts
holds them. Only in virtual time do calls take time: 5 ms, 1.5 s where the store is slow. Each cell shows
what the operator received (accepted, conflict, or unavailable: nothing was written), and after how many seconds
from the end of the fault or the acceptance, whichever is later, the stored version was in force on every VM that runs.

Checked every 100 ms: no agent's revision and no daemon's version of the contract falls in one life. At the end: the store
holds what was accepted last; a change that was refused was not written; of two racing
operators one got a conflict (every order of their calls is the matter of internal/ctl's test); the stored version is in force everywhere.`

// An operator's change is accepted and not in force on some VM, or falls back, or
// one of two racing changes is lost without a word: something broke between the
// file and the daemons. docs/faults/configchange.md shows each fault at each step.
func TestFaultsAtStepsOfConfigurationChange(t *testing.T) {
	chart, err := statechart.Parse("steps", []byte(changeSteps))
	require.NoError(t, err)
	m := faults.New(chart, changeAbout)
	for _, step := range faults.Steps(chart) {
		for _, f := range faults.All() {
			b, ok := changeBreakages[f]
			require.True(t, ok, "no entry for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(string(f)+" at "+faults.Name(step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m.Set(f, step, newChangePlay(t, chart, step, b.inject, b.lasts).run())
				})
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
