package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/statechart"
)

// Outcomes of an attempt that a script prescribes.
const (
	endAnswer = "answer"
	endShed   = "shed"
	endUnsent = "unsent"
	endLost   = "lost"
)

// script leads a request to one transition of its state chart.
type script struct {
	// outcomes holds the outcomes of the first attempts; later ones are answered.
	outcomes []string
	// idempotent and nonIdempotent restrict the kind of request; if neither is set,
	// both kinds are tested.
	idempotent, nonIdempotent bool
	// busy fills all slots, so that the request waits until its deadline.
	busy bool
	// drainAt is the event of the request after which the dispatcher drains.
	drainAt statechart.Event
}

func transition(from, event, to string) statechart.Transition {
	return statechart.Transition{From: statechart.State(from), Event: statechart.Event(event), To: statechart.State(to)}
}

// scripts has an entry for each transition of charts/request.jsonc.
var scripts = map[statechart.Transition]script{
	{To: "queued"}:                              {},
	transition("queued", "send", "sent"):        {},
	transition("queued", "refuse", "refused"):   {busy: true},
	transition("sent", "answer", "answered"):    {},
	transition("sent", "shed", "queued"):        {outcomes: []string{endShed}},
	transition("sent", "unsent", "queued"):      {outcomes: []string{endUnsent}},
	transition("sent", "repeat", "unsettled"):   {outcomes: []string{endLost}, idempotent: true},
	transition("sent", "lose", "lost"):          {outcomes: []string{endLost}, nonIdempotent: true},
	transition("unsettled", "send", "resent"):   {outcomes: []string{endLost}, idempotent: true},
	transition("unsettled", "lose", "lost"):     {outcomes: []string{endLost}, idempotent: true, drainAt: eventSend},
	transition("resent", "answer", "answered"):  {outcomes: []string{endLost}, idempotent: true},
	transition("resent", "shed", "unsettled"):   {outcomes: []string{endLost, endShed}, idempotent: true},
	transition("resent", "unsent", "unsettled"): {outcomes: []string{endLost, endUnsent}, idempotent: true},
	transition("resent", "repeat", "unsettled"): {outcomes: []string{endLost, endLost}, idempotent: true},
	transition("resent", "lose", "lost"):        {outcomes: []string{endLost, endLost, endLost, endLost, endLost, endLost, endLost, endLost}, idempotent: true},
}

// injection describes how a fault is injected into a dispatcher.
type injection struct {
	name       faults.Fault
	impossible string
	// keyed runs the test with a keyed service of one target.
	keyed bool
	// stopsDispatcher reports whether the dispatcher admits no requests afterwards.
	stopsDispatcher bool
	inject          func(c *cell)
}

const noStore = "a dispatcher does not call the store; what it received from its agent stays in force: see agent lost"

// injections has an entry for each fault.
var injections = map[faults.Fault]injection{
	faults.None:            {inject: func(*cell) {}},
	faults.Partition:       {inject: func(c *cell) { c.partitionFor(211 * time.Millisecond) }},
	faults.Pause:           {inject: (*cell).pause},
	faults.EntryLost:       {inject: func(c *cell) { c.push(message{cancel: victim}) }},
	faults.DispatchLost:    {stopsDispatcher: true, inject: (*cell).loseDispatcher},
	faults.AgentLost:       {keyed: true, inject: func(c *cell) { c.refuseGrantFor(1493 * time.Millisecond) }},
	faults.TargetFrozen:    {inject: func(c *cell) { c.freeze(c.victimTarget(), 997*time.Millisecond) }},
	faults.TargetLost:      {inject: func(c *cell) { c.lose(c.victimTarget()) }},
	faults.StoreDown:       {impossible: noStore},
	faults.StoreSlow:       {impossible: noStore},
	faults.StoreAnswerLost: {impossible: noStore},
	faults.LeaseLapsed:     {keyed: true, inject: func(c *cell) { c.refuseGrantFor(307 * time.Millisecond) }},
	faults.OperatorsRace:   {inject: (*cell).race},
	faults.CrashingRequest: {inject: (*cell).beginCrashing},
	faults.VMLeaves:        {stopsDispatcher: true, inject: func(c *cell) { c.push(message{drain: true}) }},
	faults.TargetLeaves:    {inject: func(c *cell) { c.leave(c.victimTarget()) }},
	faults.DataCentreLost:  {inject: func(c *cell) { c.lose(c.victimTarget()); c.lose(c.otherTarget()) }},
	faults.TargetLostTwice: {inject: func(c *cell) {
		c.lose(c.victimTarget())
		time.AfterFunc(103*time.Millisecond, func() { c.lose(c.otherTarget()) })
	}},
	faults.PartitionTwice: {inject: func(c *cell) {
		c.partitionFor(53 * time.Millisecond)
		time.AfterFunc(171*time.Millisecond, func() { c.partitionFor(199 * time.Millisecond) })
	}},
	faults.TargetAndStore: {impossible: noStore},
	faults.AgentAndTarget: {keyed: true, inject: func(c *cell) {
		c.lose("master-1")
		time.AfterFunc(1500*time.Millisecond, func() {
			c.set("master-1", func(f *fakeTarget) { f.down = false })
			c.own("master-1")
		})
	}},
	faults.PauseInPartition: {inject: func(c *cell) { c.partitionFor(211 * time.Millisecond); c.pause() }},
}

// planned holds the rows that are no failures but planned stops or changes.
var planned = map[faults.Fault]bool{faults.VMLeaves: true, faults.TargetLeaves: true, faults.OperatorsRace: true}

const requestAbout = `A dispatcher's queue runs in virtual time: three targets of 2 slots (one keyed
target for the faults of ownership), the real detection of crashing requests, two
other requests, and the request under test, which is brought to the step. The fault is injected at the
step, for "send" in the middle of the attempt. Each cell shows what the caller of that request received:
answered, no (refused, not run) or unknown. Where both kinds of request can take the step, the results of a
non-idempotent / an idempotent request are shown if they differ. A lost dispatcher sends no answer, and its
entry reports unknown. For a lost entry the cell shows the answer that reached no caller.

Checked in each cell: each request received its own complete answer; a request refused as not run has not
run; a non-idempotent request, including the two others, ran at most once; a target that leaves was sent
nothing after 3 s; where a VM or target leaves or operators race, no request in flight was lost; a request
crashed at most two targets; the queue was empty at the end; a later request is answered, unless the
dispatcher left.`

// Injects each fault at each transition of a request. Guards against requests that are
// refused as not run but have run, non-idempotent requests that run twice, and answers of
// other requests. docs/faults/request.md shows the results.
func TestFaultsAtStepsOfRequest(t *testing.T) {
	m := faults.New(requestChart, requestAbout)
	for _, step := range faults.Steps(requestChart) {
		s, ok := scripts[step]
		require.True(t, ok, "no script leads to %s", faults.StepName(step))
		var baseline string
		for _, f := range faults.All() {
			b, ok := injections[f]
			require.True(t, ok, "no injection for %s", f)
			b.name = f
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			name := string(f) + " at " + faults.StepName(step)
			t.Run(name, func(t *testing.T) {
				got := s.received(t, step, b)
				if f == faults.None {
					baseline = got
				}
				if planned[f] && baseline != "unknown" {
					require.NotContains(t, got, "unknown", "a planned stop or change lost a request in flight")
				}
				m.Set(f, step, got)
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}

func (s script) received(t *testing.T, step statechart.Transition, b injection) string {
	var got []string
	for _, idempotent := range []bool{false, true} {
		if idempotent && s.nonIdempotent || !idempotent && s.idempotent {
			continue
		}
		got = append(got, playCell(t, step, b, idempotent))
	}
	if len(got) == 2 && got[0] != got[1] {
		return got[0] + " / " + got[1]
	}
	return got[0]
}
