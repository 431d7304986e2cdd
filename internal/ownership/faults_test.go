package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

const (
	tickInterval = 100 * time.Millisecond
	// pollInterval is how often an agent looks at its elections.
	pollInterval = 500 * time.Millisecond
	// writeTimeout is when an agent gives a write up.
	writeTimeout = 2 * time.Second
	observedTime = 60 * time.Second
)

// simAgent is one agent of a play.
type simAgent struct {
	*Election
	starts int
	// crashedUntil, pausedUntil and partitionedUntil end a loss, a pause, and a cut from the store.
	crashedUntil, pausedUntil, partitionedUntil time.Duration
	// answersToLose is how many answers of the store get lost.
	answersToLose int
	write         *pendingWrite
}

// pendingWrite is one in flight.
type pendingWrite struct {
	claim               *Claim
	arrives, answered   time.Duration
	applied, lost, done bool
	version             uint64
}

// simulation is three agents and one object; the first agent is led to the step.
type simulation struct {
	t              *testing.T
	now            time.Duration
	agents         [3]*simAgent
	object         model.Assigner
	version        uint64
	latency        time.Duration
	storeDownUntil time.Duration
	step           statechart.Transition
	inject         func(*simulation)
	onStep         func(*simulation, statechart.Transition)
	reached        bool
	faultDue       bool
	// conflictNext has another write come in before the first agent's next one.
	conflictNext bool
}

func newSimulation(t *testing.T, step statechart.Transition, l setup, inject func(*simulation)) *simulation {
	p := &simulation{t: t, step: step, inject: inject, onStep: l.onTransition, latency: 5 * time.Millisecond}
	for i := range p.agents {
		p.agents[i] = &simAgent{}
		p.restart(i)
	}
	if l.before != nil {
		l.before(p)
	}
	p.reached = step.Event == ""
	p.faultDue = p.reached
	return p
}

func (p *simulation) restart(i int) {
	e := p.agents[i]
	e.starts++
	vm := fmt.Sprintf("vm%d", i)
	e.Election, e.write = NewElection("s", vm, fmt.Sprintf("%s-%d", vm, e.starts), p.now), nil
	if i == 0 {
		e.machine.Watch(p.onTransition)
	}
}

func (p *simulation) onTransition(s statechart.Transition) {
	if p.onStep != nil {
		p.onStep(p, s)
	}
	if s == p.step && !p.reached {
		p.reached, p.faultDue = true, true
	}
}

// run plays to the end and returns how long in all nobody planned the service.
func (p *simulation) run() string {
	var unassigned, since time.Duration
	for since < observedTime {
		for i := range p.agents {
			p.stepAgent(i)
			if p.faultDue {
				p.faultDue = false
				p.inject(p)
			}
		}
		holders := p.holders()
		require.LessOrEqual(p.t, len(holders), 1, "two plan at one time: %v", holders)
		if p.reached {
			since += tickInterval
			if len(holders) == 0 {
				unassigned += tickInterval
			}
		}
		p.now += tickInterval
		require.Less(p.t, p.now, 3*observedTime, "nothing led to the step")
	}
	require.Len(p.t, p.holders(), 1, "nobody plans at the end")
	require.Equal(p.t, p.object.Holder, p.holders()[0], "the store names the holder")
	return fmt.Sprintf("%.1f", unassigned.Seconds())
}

func (p *simulation) holders() []string {
	var out []string
	for i, e := range p.agents {
		if p.isRunning(i) && e.Holds(p.now) {
			out = append(out, e.self.Holder)
		}
	}
	return out
}

func (p *simulation) isRunning(i int) bool {
	return p.now >= p.agents[i].crashedUntil && p.now >= p.agents[i].pausedUntil
}

func (p *simulation) reachesStore(i int) bool {
	return p.now >= p.storeDownUntil && p.now >= p.agents[i].partitionedUntil
}

func (p *simulation) stepAgent(i int) {
	e := p.agents[i]
	p.deliverWrite(e, p.reachesStore(i))
	if e.crashedUntil != 0 && p.now >= e.crashedUntil {
		e.crashedUntil = 0
		p.restart(i)
	}
	if !p.isRunning(i) {
		return
	}
	if w := e.write; w != nil {
		if !w.done && p.now < w.answered || w.lost && p.now < w.arrives+writeTimeout {
			return // one goroutine: it waits for the store
		}
		e.write = nil
		if w.lost {
			e.Unknown(p.now)
		} else {
			e.Done(p.now, w.claim, w.version, w.applied)
		}
	}
	if p.now%pollInterval != time.Duration(i)*tickInterval {
		return
	}
	if p.reachesStore(i) {
		e.Observe(p.now, p.object, p.version)
	}
	if c := e.Step(p.now, i); c != nil {
		e.write = &pendingWrite{claim: c, arrives: p.now + p.latency, answered: p.now + 2*p.latency}
	}
}

// deliverWrite lets a write reach the store when it is due, whatever became of its
// sender.
func (p *simulation) deliverWrite(e *simAgent, reaches bool) {
	w := e.write
	if w == nil || w.done || p.now < w.arrives {
		return
	}
	w.done = true
	if !reaches {
		w.lost = true
		return
	}
	if p.conflictNext && e == p.agents[0] {
		p.conflictNext = false
		p.writeAsOther()
	}
	if w.claim.Version == p.version {
		require.Greater(p.t, w.claim.Object.Renewal, p.object.Renewal, "a renewal fell")
		require.GreaterOrEqual(p.t, w.claim.Object.Epoch, p.object.Epoch, "an epoch fell")
		p.version++
		p.object, w.applied, w.version = w.claim.Object, true, p.version
	}
	if e.answersToLose > 0 {
		e.answersToLose--
		w.lost = true
	}
}

// writeAsOther is a write of another that dies after it.
func (p *simulation) writeAsOther() {
	p.version++
	p.object = model.Assigner{Service: "s", Holder: "vm1", Incarnation: "vm1-0", Epoch: p.object.Epoch + 1, Renewal: p.object.Renewal + 1}
}

func (p *simulation) pause(i int, d time.Duration)     { p.agents[i].pausedUntil = p.now + d }
func (p *simulation) partition(i int, d time.Duration) { p.agents[i].partitionedUntil = p.now + d }
func (p *simulation) crash(i int, d time.Duration)     { p.agents[i].crashedUntil = p.now + d }

// setup brings the first agent to a step: begin before the play, at on each of its
// steps.
type setup struct {
	before       func(*simulation)
	onTransition func(*simulation, statechart.Transition)
}

// onFirstWin does something when the first agent won for the first time.
func onFirstWin(do func(*simulation)) setup {
	done := false
	return setup{onTransition: func(p *simulation, s statechart.Transition) {
		if s.Event == eventWon && !done {
			done = true
			do(p)
		}
	}}
}

func transition(from statechart.State, e statechart.Event, to statechart.State) statechart.Transition {
	return statechart.Transition{From: from, Event: e, To: to}
}

// setups has an entry for each step of charts/assigner.jsonc.
var setups = map[statechart.Transition]func() setup{
	{To: following}: func() setup { return setup{} },
	transition(following, eventSilent, claiming): func() setup { return setup{} },
	transition(following, eventSeen, following): func() setup {
		return setup{before: func(p *simulation) { p.pause(0, 2*time.Second) }}
	},
	transition(claiming, eventWon, holding): func() setup { return setup{} },
	transition(claiming, eventLost, following): func() setup {
		return setup{before: func(p *simulation) { p.conflictNext = true }}
	},
	transition(claiming, eventUnknown, following): func() setup {
		return setup{before: func(p *simulation) { p.agents[0].answersToLose = 1 }}
	},
	transition(claiming, eventSeen, following): func() setup {
		// Its claim waits in the store's queue while it is looked at again.
		return setup{onTransition: func(p *simulation, s statechart.Transition) {
			if s.Event == eventSilent && !p.reached {
				p.writeAsOther()
				p.agents[0].Observe(p.now, p.object, p.version)
			}
		}}
	},
	transition(holding, eventWon, holding): func() setup { return setup{} },
	transition(holding, eventSeen, following): func() setup {
		return onFirstWin(func(p *simulation) { p.pause(0, 15*time.Second) })
	},
	transition(holding, eventLost, following): func() setup {
		return onFirstWin(func(p *simulation) { p.conflictNext = true })
	},
	transition(holding, eventUnknown, holding): func() setup {
		return onFirstWin(func(p *simulation) { p.agents[0].answersToLose = 1 })
	},
	transition(holding, eventLapse, following): func() setup {
		return onFirstWin(func(p *simulation) {
			for i := range p.agents {
				p.pause(i, AssignerTTL+time.Second)
			}
		})
	},
}

const (
	noTarget   = "an election speaks to no target, and no request passes through it"
	noData     = "entries and dispatchers take no part in an election"
	noOperator = "operators write no assigner objects: hqctl has no command for it"
)

// faultCases has an entry for each fault: why it cannot be, or what it does.
var faultCases = map[faults.Fault]struct {
	impossible string
	inject     func(*simulation)
}{
	faults.None:            {inject: func(*simulation) {}},
	faults.Partition:       {inject: func(p *simulation) { p.partition(0, 10*time.Second) }},
	faults.Pause:           {inject: func(p *simulation) { p.pause(0, 3*time.Second) }},
	faults.EntryLost:       {impossible: noData},
	faults.DispatchLost:    {impossible: noData},
	faults.AgentLost:       {inject: func(p *simulation) { p.crash(0, 3*time.Second) }},
	faults.TargetFrozen:    {impossible: noTarget},
	faults.TargetLost:      {impossible: noTarget},
	faults.StoreDown:       {inject: func(p *simulation) { p.storeDownUntil = p.now + 20*time.Second }},
	faults.StoreSlow:       {inject: func(p *simulation) { p.latency = 400 * time.Millisecond }},
	faults.StoreAnswerLost: {inject: func(p *simulation) { p.agents[0].answersToLose = 2 }},
	faults.LeaseLapsed:     {inject: func(p *simulation) { p.pause(0, 10*time.Second) }},
	faults.OperatorsRace:   {impossible: noOperator},
	faults.CrashingRequest: {impossible: noTarget},
	faults.VMLeaves:        {inject: func(p *simulation) { p.crash(0, time.Hour) }},
	faults.TargetLeaves:    {impossible: noTarget},
	faults.DataCentreLost:  {inject: func(p *simulation) { p.crash(0, 5*time.Second); p.crash(1, time.Hour) }},
	faults.TargetLostTwice: {impossible: noTarget},
	faults.PartitionTwice: {inject: func(p *simulation) {
		p.partition(0, 3*time.Second)
		p.partition(1, 10*time.Second)
	}},
	faults.TargetAndStore:   {impossible: noTarget + ": see store down"},
	faults.AgentAndTarget:   {impossible: noTarget + ": see agent lost"},
	faults.PauseInPartition: {inject: func(p *simulation) { p.partition(0, 10*time.Second); p.pause(0, 3*time.Second) }},
}

const matrixIntro = `Three agents elect the assigner of one service over one object of the store, in
steps of 100 ms; the first agent is led to the step. Each cell shows for how many seconds of the
60 s after the step nobody planned: no move and no repair of the record then,
while grants and requests go on. In "partition, twice" the first two agents are cut off one for longer than the other.

Checked every 100 ms: one agent at most holds the service; epochs and renewals in the
store never fall. At the end: one holds it, and the store names it.`

// Two agents plan one service, or none does for ever: a holder was paused, cut off
// or lost its answer just when it claimed, renewed or gave up.
// docs/faults/assigner.md shows each fault at each step.
func TestFaultsAtStepsOfElection(t *testing.T) {
	m := faults.New(assignerChart, matrixIntro)
	for _, step := range faults.Steps(assignerChart) {
		l, ok := setups[step]
		require.True(t, ok, "nothing leads to %s", faults.Name(step))
		for _, f := range faults.All() {
			b, ok := faultCases[f]
			require.True(t, ok, "no entry for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(string(f)+" at "+faults.Name(step), func(t *testing.T) {
				m.Set(f, step, newSimulation(t, step, l(), b.inject).run())
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
