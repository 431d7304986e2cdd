package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

const (
	planInterval = 500 * time.Millisecond
	// adoptionDelay is how long simulated grantors take to win a new epoch,
	// releaseDelay how long a release takes. Both are longer than in production, so
	// that faults can occur in between.
	adoptionDelay      = 2 * time.Second
	releaseDelay       = 1500 * time.Millisecond
	moveSimulationTime = 60 * time.Second
)

// moveSimulation is a planner, its record in the store, and grantors that carry out
// the record with a delay. The group with ID 1 moves.
type moveSimulation struct {
	*simulation
	t         *testing.T
	step      statechart.Transition
	inject    func(*moveSimulation)
	onOrdered func(*moveSimulation)
	from      string
	to        string
	last      *move
	state     statechart.State
	stepTaken bool
	stored    model.Assignment
	version   int
	// read is the version of the record that the planner last read.
	read int
	// adopted are the groups as last adopted by the grantors.
	adopted map[uint64]model.Group
	seenAt  map[uint64]time.Duration
	moveAt  map[uint64]time.Duration
	// The end times of faults, in simulated time.
	cutTo, downTo, pausedTo, slowTo time.Duration
	loseAnswers                     int
	scheduled                       map[time.Duration][]func(*moveSimulation)
}

func newMoveSimulation(t *testing.T, step statechart.Transition, onOrdered, inject func(*moveSimulation)) *moveSimulation {
	w := newSimulation(5, 5, 4, 5, model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1})
	p := &moveSimulation{
		simulation: w, t: t, step: step, inject: inject, onOrdered: onOrdered, stored: *w.in.Assignment,
		adopted: make(map[uint64]model.Group), seenAt: make(map[uint64]time.Duration),
		moveAt: make(map[uint64]time.Duration), scheduled: make(map[time.Duration][]func(*moveSimulation)),
	}
	for _, g := range p.stored.Groups {
		p.adopted[g.ID] = g
	}
	return p
}

func (p *moveSimulation) group() *model.Group {
	i := slices.IndexFunc(p.stored.Groups, func(g model.Group) bool { return g.ID == 1 })
	return &p.stored.Groups[i]
}

// begin plans the move to a target that is not the standby yet.
func (p *moveSimulation) begin() {
	r := newRound(p.planner, &p.in)
	r.next = p.stored
	r.next.Groups = slices.Clone(p.stored.Groups)
	i := slices.IndexFunc(r.next.Groups, func(g model.Group) bool { return g.ID == 1 })
	g := &r.next.Groups[i]
	p.from = g.Owner.Name
	for _, name := range r.eligible {
		if name != g.Owner.Name && name != g.Standby.Name && name != g.Witness.Name {
			p.to = name
		}
	}
	r.startMove(g, p.to, "a test moves it")
	r.raiseEpochs()
	p.stored, p.version = r.next, p.version+1
	p.last, p.state = p.planner.moves[1], movePreparing
}

// runFault simulates one fault at one step and returns where the group ended.
func (p *moveSimulation) runFault() string {
	p.begin()
	if p.step.Event == "" {
		p.stepTaken = true
		p.inject(p)
	}
	for end := p.in.Now + moveSimulationTime; p.in.Now < end; {
		p.in.Now += planInterval
		for _, do := range p.scheduled[p.in.Now] {
			do(p)
		}
		p.plan()
		p.observeStep()
		p.grantors()
		p.checkRecord()
	}
	require.True(p.t, p.stepTaken, "the step did not occur")
	return p.outcome()
}

func (p *moveSimulation) outcome() string {
	g := p.group()
	require.Empty(p.t, g.MoveTo, "a move was left undone")
	require.Empty(p.t, p.planner.moves, "a move was left undone")
	require.Equal(p.t, g.Owner.Name, p.in.Serving[1].Target.Name, "the recorded owner does not serve")
	require.False(p.t, p.in.Lost[g.Owner.Name], "the owner is a lost target")
	switch g.Owner.Name {
	case p.to:
		return "moved"
	case p.from:
		return "stayed"
	}
	return "elsewhere"
}

// plan is one run of the assigner. It plans from the record that it last read, and the
// store accepts the plan if that record is still current.
func (p *moveSimulation) plan() {
	now := p.in.Now
	if now < p.pausedTo || now < p.slowTo && now%(2*time.Second) != 0 {
		return
	}
	reaches := now >= p.cutTo && now >= p.downTo
	if reaches {
		held := p.stored
		p.in.Assignment, p.read = &held, p.version
	}
	r := p.planner.Plan(&p.in)
	if len(r.Decisions) == 0 {
		return
	}
	if !reaches || p.read != p.version {
		p.planner.DropMoves()
		return
	}
	p.checkIntent(&r.Assignment)
	p.stored, p.version = r.Assignment, p.version+1
	if p.loseAnswers > 0 {
		p.loseAnswers--
		p.planner.DropMoves()
	}
}

// checkIntent requires that moves are ordered to the standby only.
func (p *moveSimulation) checkIntent(next *model.Assignment) {
	for _, g := range next.Groups {
		if g.MoveTo != "" {
			require.Equal(p.t, g.Standby.Name, g.MoveTo, "an intent names a target that is not the standby")
		}
	}
}

// observeStep compares the state of the move with the previous one, and injects the
// fault after the step in question. The two states identify a step of the chart.
func (p *moveSimulation) observeStep() {
	if p.last == nil || p.last.machine.State() == p.state {
		return
	}
	from := p.state
	p.state = p.last.machine.State()
	if from == p.step.From && p.state == p.step.To && !p.stepTaken {
		p.stepTaken = true
		p.inject(p)
	}
	if p.state == moveOrdered && p.onOrdered != nil {
		p.onOrdered(p)
	}
}

const moveOrdered = statechart.State("ordered")

// grantors lets the grantors adopt records, serve by them, and record who serves.
func (p *moveSimulation) grantors() {
	down := p.in.Now < p.downTo
	for i := range p.stored.Groups {
		g := &p.stored.Groups[i]
		if !down {
			p.adoptRecord(g)
		}
		pair := p.adopted[g.ID]
		serving := p.serve(&pair)
		p.in.Serving[g.ID] = Serving{Target: model.TargetRef{Name: serving}, Epoch: pair.Epoch}
		if down || pair.Epoch != g.Epoch || serving != g.Standby.Name && serving != g.MoveTo {
			continue
		}
		p.stored.Groups = slices.Clone(p.stored.Groups)
		g = &p.stored.Groups[i]
		if serving == g.Standby.Name {
			g.Owner, g.Standby = g.Standby, g.Owner
		}
		if serving == g.MoveTo {
			g.MoveTo = ""
		}
		p.version++
		p.adopted[g.ID] = *g
	}
}

// adoptRecord adopts a changed intent at once, and a new epoch after adoptionDelay.
func (p *moveSimulation) adoptRecord(g *model.Group) {
	held := p.adopted[g.ID]
	if held.Epoch == g.Epoch {
		p.adopted[g.ID] = *g
		delete(p.seenAt, g.ID)
		return
	}
	at, seen := p.seenAt[g.ID]
	if !seen {
		p.seenAt[g.ID] = p.in.Now
		return
	}
	if p.in.Now-at >= adoptionDelay {
		p.adopted[g.ID] = *g
		delete(p.seenAt, g.ID)
	}
}

// serve returns the target that serves the pair. It changes only through losses and moves.
func (p *moveSimulation) serve(pair *model.Group) string {
	serving := p.in.Serving[pair.ID].Target.Name
	other := pair.Owner.Name
	if serving == other {
		other = pair.Standby.Name
	}
	switch {
	case serving != pair.Owner.Name && serving != pair.Standby.Name && !p.in.Lost[pair.Owner.Name]:
		return pair.Owner.Name
	case p.in.Lost[serving] && !p.in.Lost[other]:
		return other
	case pair.MoveTo == "" || pair.MoveTo == serving || p.in.Lost[pair.MoveTo]:
		delete(p.moveAt, pair.ID)
		return serving
	case p.moveAt[pair.ID] == 0:
		p.moveAt[pair.ID] = p.in.Now
	case p.in.Now-p.moveAt[pair.ID] >= releaseDelay:
		return pair.MoveTo
	}
	return serving
}

// checkRecord requires that the owner is neither standby nor witness, and that the
// record's epoch is not below the one that the grantors adopted.
func (p *moveSimulation) checkRecord() {
	for _, g := range p.stored.Groups {
		require.NotEqual(p.t, g.Owner.Name, g.Standby.Name)
		require.NotEqual(p.t, g.Owner.Name, g.Witness.Name)
		require.GreaterOrEqual(p.t, g.Epoch, p.adopted[g.ID].Epoch, "an epoch decreased")
	}
}

func (p *moveSimulation) after(d time.Duration, do func(*moveSimulation)) {
	p.scheduled[p.in.Now+d] = append(p.scheduled[p.in.Now+d], do)
}

func (p *moveSimulation) loseTarget(name string, d time.Duration) {
	p.in.Lost[name] = true
	p.after(d, func(p *moveSimulation) { delete(p.in.Lost, name) })
}

// restart replaces the assigner by one without state.
func (p *moveSimulation) restart(d time.Duration) {
	p.pausedTo = p.in.Now + d
	p.after(d, func(p *moveSimulation) { p.planner, p.last = New(), nil })
}

// lapseLease lets another assigner plan during the pause of the first, which then
// tries to write a plan made from the record that it read before.
func (p *moveSimulation) lapseLease() {
	held, read, old := p.stored, p.version, p.planner
	p.planner, p.last = New(), nil
	p.pausedTo = p.in.Now + 6*time.Second
	p.after(10*time.Second, func(p *moveSimulation) {
		in := p.in
		in.Assignment = &held
		if r := old.Plan(&in); len(r.Decisions) > 0 && read == p.version {
			p.stored, p.version = r.Assignment, p.version+1
		}
	})
}

func (p *moveSimulation) partition(d time.Duration) { p.cutTo = p.in.Now + d }

func (p *moveSimulation) storeDown(d time.Duration) { p.downTo = p.in.Now + d }

// raceOperators removes the new target from the service, and adds it again a second
// later, like two operators with different intentions.
func (p *moveSimulation) raceOperators() {
	before, without := p.in.Service, *p.in.Service
	without.Targets = slices.DeleteFunc(slices.Clone(before.Targets), func(t model.Target) bool { return t.Name == p.to })
	p.in.Service = &without
	p.after(time.Second, func(p *moveSimulation) { p.in.Service = before })
}

// stepPreludes has an entry for each step of charts/move.jsonc: the events, at the
// beginning and when the move is ordered, that lead to the step.
var stepPreludes = map[statechart.Transition]struct{ begin, ordered func(*moveSimulation) }{
	{To: "preparing"}: {},
	{From: "preparing", Event: "granted", To: "ordered"}: {},
	{From: "preparing", Event: "served", To: "recorded"}: {begin: func(p *moveSimulation) {
		p.after(adoptionDelay+planInterval, func(p *moveSimulation) { p.loseTarget(p.from, 20*time.Second) })
		p.pausedTo = p.in.Now + 5*time.Second
	}},
	{From: "preparing", Event: "withdraw", To: "withdrawn"}: {begin: func(p *moveSimulation) {
		p.after(planInterval, func(p *moveSimulation) { p.loseTarget(p.to, 20*time.Second) })
	}},
	{From: "ordered", Event: "served", To: "recorded"}:    {},
	{From: "ordered", Event: "withdraw", To: "withdrawn"}: {ordered: func(p *moveSimulation) { p.loseTarget(p.to, 20*time.Second) }},
}
