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
	beat = 100 * time.Millisecond
	// lookEvery is how often an agent looks at its elections.
	lookEvery = 500 * time.Millisecond
	// writeTimeout is when an agent gives a write up.
	writeTimeout = 2 * time.Second
	playFor      = 60 * time.Second
)

// elector is one agent of a play.
type elector struct {
	*Election
	lives int
	// deadUntil, pausedUntil and cutUntil end a loss, a pause, and a cut from the store.
	deadUntil, pausedUntil, cutUntil time.Duration
	// loseAnswers is how many answers of the store get lost.
	loseAnswers int
	write       *write
}

// write is one in flight.
type write struct {
	claim               *Claim
	arrives, answered   time.Duration
	applied, lost, done bool
	version             uint64
}

// play is three agents and one object; the first agent is led to the step.
type play struct {
	t        *testing.T
	now      time.Duration
	electors [3]*elector
	object   model.Assigner
	version  uint64
	latency  time.Duration
	downTo   time.Duration
	step     statechart.Transition
	inject   func(*play)
	lead     func(*play, statechart.Transition)
	taken    bool
	pending  bool
	// snatch has another write come in before the first agent's next one.
	snatch bool
}

func newPlay(t *testing.T, step statechart.Transition, l lead, inject func(*play)) *play {
	p := &play{t: t, step: step, inject: inject, lead: l.at, latency: 5 * time.Millisecond}
	for i := range p.electors {
		p.electors[i] = &elector{}
		p.revive(i)
	}
	if l.begin != nil {
		l.begin(p)
	}
	p.taken = step.Event == ""
	p.pending = p.taken
	return p
}

func (p *play) revive(i int) {
	e := p.electors[i]
	e.lives++
	vm := fmt.Sprintf("vm%d", i)
	e.Election, e.write = NewElection("s", vm, fmt.Sprintf("%s-%d", vm, e.lives), p.now), nil
	if i == 0 {
		e.machine.Watch(p.note)
	}
}

func (p *play) note(s statechart.Transition) {
	if p.lead != nil {
		p.lead(p, s)
	}
	if s == p.step && !p.taken {
		p.taken, p.pending = true, true
	}
}

// run plays to the end and returns how long in all nobody planned the service.
func (p *play) run() string {
	var vacant, since time.Duration
	for since < playFor {
		for i := range p.electors {
			p.act(i)
			if p.pending {
				p.pending = false
				p.inject(p)
			}
		}
		holders := p.holders()
		require.LessOrEqual(p.t, len(holders), 1, "two plan at one time: %v", holders)
		if p.taken {
			since += beat
			if len(holders) == 0 {
				vacant += beat
			}
		}
		p.now += beat
		require.Less(p.t, p.now, 3*playFor, "nothing led to the step")
	}
	require.Len(p.t, p.holders(), 1, "nobody plans at the end")
	require.Equal(p.t, p.object.Holder, p.holders()[0], "the store names the holder")
	return fmt.Sprintf("%.1f", vacant.Seconds())
}

func (p *play) holders() []string {
	var out []string
	for i, e := range p.electors {
		if p.runs(i) && e.Holds(p.now) {
			out = append(out, e.me.Holder)
		}
	}
	return out
}

func (p *play) runs(i int) bool {
	return p.now >= p.electors[i].deadUntil && p.now >= p.electors[i].pausedUntil
}

func (p *play) reaches(i int) bool { return p.now >= p.downTo && p.now >= p.electors[i].cutUntil }

func (p *play) act(i int) {
	e := p.electors[i]
	p.carry(e, p.reaches(i))
	if e.deadUntil != 0 && p.now >= e.deadUntil {
		e.deadUntil = 0
		p.revive(i)
	}
	if !p.runs(i) {
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
	if p.now%lookEvery != time.Duration(i)*beat {
		return
	}
	if p.reaches(i) {
		e.Observe(p.now, p.object, p.version)
	}
	if c := e.Step(p.now, i); c != nil {
		e.write = &write{claim: c, arrives: p.now + p.latency, answered: p.now + 2*p.latency}
	}
}

// carry lets a write reach the store when it is due, whatever became of its
// sender.
func (p *play) carry(e *elector, reaches bool) {
	w := e.write
	if w == nil || w.done || p.now < w.arrives {
		return
	}
	w.done = true
	if !reaches {
		w.lost = true
		return
	}
	if p.snatch && e == p.electors[0] {
		p.snatch = false
		p.foreign()
	}
	if w.claim.Version == p.version {
		require.Greater(p.t, w.claim.Object.Renewal, p.object.Renewal, "a renewal fell")
		require.GreaterOrEqual(p.t, w.claim.Object.Epoch, p.object.Epoch, "an epoch fell")
		p.version++
		p.object, w.applied, w.version = w.claim.Object, true, p.version
	}
	if e.loseAnswers > 0 {
		e.loseAnswers--
		w.lost = true
	}
}

// foreign is a write of another that dies after it.
func (p *play) foreign() {
	p.version++
	p.object = model.Assigner{Service: "s", Holder: "vm1", Incarnation: "vm1-0", Epoch: p.object.Epoch + 1, Renewal: p.object.Renewal + 1}
}

func (p *play) pause(i int, d time.Duration) { p.electors[i].pausedUntil = p.now + d }
func (p *play) cut(i int, d time.Duration)   { p.electors[i].cutUntil = p.now + d }
func (p *play) lose(i int, d time.Duration)  { p.electors[i].deadUntil = p.now + d }

// lead brings the first agent to a step: begin before the play, at on each of its
// steps.
type lead struct {
	begin func(*play)
	at    func(*play, statechart.Transition)
}

// whenWon does something when the first agent won for the first time.
func whenWon(do func(*play)) lead {
	done := false
	return lead{at: func(p *play, s statechart.Transition) {
		if s.Event == eventWon && !done {
			done = true
			do(p)
		}
	}}
}

func transition(from statechart.State, e statechart.Event, to statechart.State) statechart.Transition {
	return statechart.Transition{From: from, Event: e, To: to}
}

// leads has an entry for each step of charts/assigner.jsonc.
var leads = map[statechart.Transition]func() lead{
	{To: following}: func() lead { return lead{} },
	transition(following, eventSilent, claiming): func() lead { return lead{} },
	transition(following, eventSeen, following): func() lead {
		return lead{begin: func(p *play) { p.pause(0, 2*time.Second) }}
	},
	transition(claiming, eventWon, holding): func() lead { return lead{} },
	transition(claiming, eventLost, following): func() lead {
		return lead{begin: func(p *play) { p.snatch = true }}
	},
	transition(claiming, eventUnknown, following): func() lead {
		return lead{begin: func(p *play) { p.electors[0].loseAnswers = 1 }}
	},
	transition(claiming, eventSeen, following): func() lead {
		// Its claim waits in the store's queue while it is looked at again.
		return lead{at: func(p *play, s statechart.Transition) {
			if s.Event == eventSilent && !p.taken {
				p.foreign()
				p.electors[0].Observe(p.now, p.object, p.version)
			}
		}}
	},
	transition(holding, eventWon, holding): func() lead { return lead{} },
	transition(holding, eventSeen, following): func() lead {
		return whenWon(func(p *play) { p.pause(0, 15*time.Second) })
	},
	transition(holding, eventLost, following): func() lead {
		return whenWon(func(p *play) { p.snatch = true })
	},
	transition(holding, eventUnknown, holding): func() lead {
		return whenWon(func(p *play) { p.electors[0].loseAnswers = 1 })
	},
	transition(holding, eventLapse, following): func() lead {
		return whenWon(func(p *play) {
			for i := range p.electors {
				p.pause(i, AssignerLife+time.Second)
			}
		})
	},
}

const (
	noTarget   = "an election speaks to no target, and no request passes through it"
	noData     = "entries and dispatchers take no part in an election"
	noOperator = "operators write no assigner objects: hqctl has no command for it"
)

// breakages has an entry for each fault: why it cannot be, or what it does.
var breakages = map[faults.Fault]struct {
	impossible string
	inject     func(*play)
}{
	faults.None:            {inject: func(*play) {}},
	faults.Partition:       {inject: func(p *play) { p.cut(0, 10*time.Second) }},
	faults.Pause:           {inject: func(p *play) { p.pause(0, 3*time.Second) }},
	faults.EntryLost:       {impossible: noData},
	faults.DispatchLost:    {impossible: noData},
	faults.AgentLost:       {inject: func(p *play) { p.lose(0, 3*time.Second) }},
	faults.TargetFrozen:    {impossible: noTarget},
	faults.TargetLost:      {impossible: noTarget},
	faults.StoreDown:       {inject: func(p *play) { p.downTo = p.now + 20*time.Second }},
	faults.StoreSlow:       {inject: func(p *play) { p.latency = 400 * time.Millisecond }},
	faults.StoreAnswerLost: {inject: func(p *play) { p.electors[0].loseAnswers = 2 }},
	faults.LeaseLapsed:     {inject: func(p *play) { p.pause(0, 10*time.Second) }},
	faults.OperatorsRace:   {impossible: noOperator},
	faults.CrashingRequest: {impossible: noTarget},
	faults.VMLeaves:        {inject: func(p *play) { p.lose(0, time.Hour) }},
	faults.TargetLeaves:    {impossible: noTarget},
	faults.DataCentreLost:  {inject: func(p *play) { p.lose(0, 5*time.Second); p.lose(1, time.Hour) }},
	faults.TargetLostTwice: {impossible: noTarget},
	faults.PartitionTwice: {inject: func(p *play) {
		p.cut(0, 3*time.Second)
		p.cut(1, 10*time.Second)
	}},
	faults.TargetAndStore:   {impossible: noTarget + ": see store down"},
	faults.AgentAndTarget:   {impossible: noTarget + ": see agent lost"},
	faults.PauseInPartition: {inject: func(p *play) { p.cut(0, 10*time.Second); p.pause(0, 3*time.Second) }},
}

const assignerAbout = `Three agents elect the assigner of one service over one object of the store, in
steps of 100 ms; the first agent is led to the step. Each cell shows for how many seconds of the
60 s after the step nobody planned: no move and no repair of the record then,
while grants and requests go on. In "partition, twice" the first two agents are cut off one for longer than the other.

Checked every 100 ms: one agent at most holds the service; epochs and renewals in the
store never fall. At the end: one holds it, and the store names it.`

// Two agents plan one service, or none does for ever: a holder was paused, cut off
// or lost its answer just when it claimed, renewed or gave up.
// docs/faults/assigner.md shows each fault at each step.
func TestFaultsAtStepsOfElection(t *testing.T) {
	m := faults.New(assignerChart, assignerAbout)
	for _, step := range faults.Steps(assignerChart) {
		l, ok := leads[step]
		require.True(t, ok, "nothing leads to %s", faults.Name(step))
		for _, f := range faults.All() {
			b, ok := breakages[f]
			require.True(t, ok, "no entry for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(string(f)+" at "+faults.Name(step), func(t *testing.T) {
				m.Set(f, step, newPlay(t, step, l(), b.inject).run())
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
