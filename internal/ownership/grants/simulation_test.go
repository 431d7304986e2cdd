package grants

import (
	"fmt"
	"slices"
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// The simulation drives several agents, several targets and one store through random
// steps, and checks after each step that no slice has two owners. The targets use the
// stand-in's fences; the agents use the code under test.

const (
	ms         = time.Millisecond
	simVMs     = 3
	simTargets = 4
	service    = "s"
)

// simParams has a wide margin, so that clocks may run 9% off and the simulation notices
// a missing margin.
func simParams(vm string, started int64) Params {
	return Params{
		VM: vm, Incarnation: fmt.Sprintf("%s-%d", vm, started), Started: started,
		ChecksFences: true, RenewInterval: 150 * ms, GrantTTL: 600 * ms, AuthorityTTL: 500 * ms, ClockMargin: 220 * ms, FastPathTimeout: 300 * ms, ReleaseTimeout: 500 * ms, UnservedTimeout: 700 * ms,
	}
}

const driftBound = 0.09

// randomSource makes the simulation's random choices, from rapid or from a seed.
type randomSource interface{ IntN(n int) int }

// clock runs at its own rate from its own origin.
type clock struct {
	origin time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Duration { return c.origin + time.Duration(float64(t)*c.rate) }

type simAgent struct {
	vm       string
	clock    clock
	groups   []*Group
	version  int
	suspect  [simVMs]bool
	storeCut bool // partitioned from the store
}

type simTarget struct {
	clock   clock
	starts  int
	fences  *standin.Fences
	running int
	maxSeen map[uint64]wire.Rank
}

// message is an order in flight, or its report on the way back.
type message struct {
	agent  *simAgent
	group  int
	order  Order
	report *Report
}

// proposal is a record in flight to the store.
type proposal struct {
	agent *simAgent
	base  int
	group int
	rec   model.Group
}

type simulation struct {
	random       randomSource
	mutation     mutation
	now          time.Duration
	agents       []*simAgent // the current incarnation on each VM
	staleAgents  []*simAgent
	targets      [simTargets]*simTarget
	ordersCut    [simVMs][simTargets]bool // orders are lost
	reportsLost  [simVMs][simTargets]bool // reports are lost
	messages     []message
	proposals    []proposal
	store        []model.Group
	version      int
	started      int64
	servedBy     map[string]bool
	servedChecks int
}

func newSimulation(c randomSource, mutation mutation) *simulation {
	sim := &simulation{random: c, mutation: mutation, servedBy: make(map[string]bool)}
	for i := range sim.targets {
		sim.targets[i] = &simTarget{clock: sim.newClock()}
		sim.restartTarget(i)
	}
	lines := [][]string{{"vm0", "vm1", "vm2"}, {"vm1", "vm2", "vm0"}}
	for i := range lines {
		sim.store = append(sim.store, model.Group{
			ID: uint64(i), Epoch: 1, Grantors: lines[i], Author: "planner-1",
			Slices: []keyspace.Slice{{First: keyspace.Point(i * 200), Last: keyspace.Point(i*200 + 99)}, {First: keyspace.Point(i*200 + 100), Last: keyspace.Point(i*200 + 199)}},
			Owner:  sim.ref(i), Standby: sim.ref(i + 1), Witness: sim.ref(i + 2),
		})
	}
	sim.version = 1
	for i := range simVMs {
		sim.agents = append(sim.agents, sim.newAgent(fmt.Sprintf("vm%d", i)))
	}
	return sim
}

func (sim *simulation) newClock() clock {
	rate := 1 + driftBound*float64(sim.random.IntN(3)-1)
	return clock{time.Duration(1+sim.random.IntN(1000)) * ms, rate}
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func (sim *simulation) ref(i int) model.TargetRef {
	return model.TargetRef{Name: targetName(i), Incarnation: fmt.Sprintf("t%d.%d", i, sim.targets[i].starts)}
}

func (sim *simulation) newAgent(vm string) *simAgent {
	sim.started++
	a := &simAgent{vm: vm, clock: sim.newClock(), version: sim.version}
	for _, rec := range sim.store {
		g := New(simParams(vm, sim.started), rec, a.clock.at(sim.now))
		g.mutation = sim.mutation
		a.groups = append(a.groups, g)
	}
	return a
}

func (sim *simulation) restartTarget(i int) {
	t := sim.targets[i]
	t.starts++
	t.fences = standin.NewFences(fmt.Sprintf("t%d.%d", i, t.starts))
	t.maxSeen = make(map[uint64]wire.Rank)
	t.running = 0
}

func (sim *simulation) oneIn(n int) bool { return sim.random.IntN(n) == 0 }

// step performs one random action and checks the invariant.
func (sim *simulation) step() error {
	switch k := sim.random.IntN(100); {
	case k < 15:
		sim.now += time.Duration(1+sim.random.IntN(80)) * ms
	case k < 30:
		sim.tickAny()
	case k < 65:
		return sim.round()
	case k < 80:
		if err := sim.transmitAny(); err != nil {
			return err
		}
	case k < 84:
		sim.syncAny()
	case k < 90:
		sim.writeProposal()
	default:
		sim.injectFault()
	}
	return sim.check()
}

func (sim *simulation) anyAgent() *simAgent {
	i := sim.random.IntN(simVMs + len(sim.staleAgents))
	if i < simVMs {
		return sim.agents[i]
	}
	return sim.staleAgents[i-simVMs]
}

func (sim *simulation) tickAny() { sim.tickAgent(sim.anyAgent()) }

func (sim *simulation) tickAgent(a *simAgent) {
	now := a.clock.at(sim.now)
	observation := Observation{Live: func(vm string) bool { return !a.suspect[vm[2]-'0'] }}
	for i, g := range a.groups {
		observation.Served = sim.isServed(i) && !a.storeCut
		for _, o := range g.Tick(now, observation) {
			sim.messages = append(sim.messages, message{agent: a, group: i, order: o})
		}
		if rec, ok := g.Proposal(now, observation); ok {
			sim.proposals = append(sim.proposals, proposal{a, a.version, i, rec})
		}
		if g.NeedsStore(now) && !a.storeCut {
			g.HandleStoreRead(sim.store[i].Epoch, now)
		}
	}
}

// isServed reports whether a live agent has a confirmed grant of the group.
func (sim *simulation) isServed(i int) bool {
	for _, a := range sim.agents {
		if _, _, ok := a.groups[i].ConfirmedGrant(a.clock.at(sim.now)); ok {
			return true
		}
	}
	return false
}

// round lets every agent run undisturbed, so that the simulation makes progress.
func (sim *simulation) round() error {
	for _, a := range append(slices.Clone(sim.agents), sim.staleAgents...) {
		sim.tickAgent(a)
		if !a.storeCut {
			sim.syncAgent(a)
		}
	}
	if sim.oneIn(2) {
		sim.writeProposal()
	}
	for range 200 {
		if len(sim.messages) == 0 {
			break
		}
		if err := sim.transmit(0); err != nil {
			return err
		}
		if err := sim.check(); err != nil {
			return err
		}
	}
	sim.now += time.Duration(20+sim.random.IntN(130)) * ms
	return sim.check()
}

func (sim *simulation) transmitAny() error {
	if len(sim.messages) == 0 {
		return nil
	}
	return sim.transmit(sim.random.IntN(len(sim.messages)))
}

// transmit delivers the i-th message, loses it, or leaves a copy of it in flight.
func (sim *simulation) transmit(i int) error {
	m := sim.messages[i]
	if len(sim.messages) > 300 || !sim.oneIn(30) {
		sim.messages = slices.Delete(sim.messages, i, i+1)
	}
	vm, tgt := int(m.agent.vm[2]-'0'), int(m.order.Target[1]-'0')
	if m.report != nil {
		if !sim.reportsLost[vm][tgt] {
			m.agent.groups[m.group].HandleReport(&m.order, m.report, m.agent.clock.at(sim.now))
		}
		return nil
	}
	if sim.ordersCut[vm][tgt] {
		return nil
	}
	report, err := sim.apply(tgt, m)
	if err != nil {
		return err
	}
	sim.messages = append(sim.messages, message{m.agent, m.group, m.order, report})
	return nil
}

func (sim *simulation) apply(tgt int, m message) (*Report, error) {
	t := sim.targets[tgt]
	o := m.order
	id := sim.store[m.group].ID
	r := t.fences.Apply(&target.Order{Incarnation: o.Incarnation, Groups: []target.GroupOrder{{
		Service: service, Group: id, Rank: o.Rank, Seq: o.Seq, Slices: o.Slices, Until: o.Until, Release: o.Release,
	}}}, int64(t.clock.at(sim.now)), func(string, []keyspace.Slice) int { return t.running })
	if r.Refused {
		return &Report{Incarnation: r.Incarnation, Refused: true, Clock: r.Clock}, nil
	}
	g := r.Groups[0]
	if g.Confirmed && o.Rank.Compare(t.maxSeen[id]) < 0 {
		return nil, fmt.Errorf("%s accepted rank %v below %v", o.Target, o.Rank, t.maxSeen[id])
	}
	if o.Rank.Compare(t.maxSeen[id]) > 0 {
		t.maxSeen[id] = o.Rank
	}
	return &Report{
		Incarnation: r.Incarnation, Clock: r.Clock, Confirmed: g.Confirmed, Fence: g.Fence,
		PreviousFence: g.Before, HeldUntil: g.Held, HeldRank: g.HeldRank, Running: g.Running,
	}, nil
}

func (sim *simulation) syncAny() {
	a := sim.anyAgent()
	if !a.storeCut {
		sim.syncAgent(a)
	}
}

func (sim *simulation) syncAgent(a *simAgent) {
	a.version = sim.version
	for i, g := range a.groups {
		g.Adopt(sim.store[i], a.clock.at(sim.now))
	}
}

// writeProposal lets one proposal reach the store. Its author learns of the write only
// by a later sync, as when the answer is lost.
func (sim *simulation) writeProposal() {
	if len(sim.proposals) == 0 {
		return
	}
	i := sim.random.IntN(len(sim.proposals))
	d := sim.proposals[i]
	sim.proposals = slices.Delete(sim.proposals, i, i+1)
	if len(sim.proposals) > 50 {
		sim.proposals = sim.proposals[25:]
	}
	if d.base != sim.version || d.agent.storeCut && sim.oneIn(2) {
		return
	}
	sim.version++
	sim.store[d.group] = d.rec
}

// check returns an error if a slice has two owners.
func (sim *simulation) check() error {
	for i := range sim.store {
		for _, s := range sim.store[i].Slices {
			var owners []string
			for j, t := range sim.targets {
				if t.fences.Serves(service, s.First, int64(t.clock.at(sim.now))) {
					owners = append(owners, targetName(j))
				}
			}
			if len(owners) > 1 {
				return fmt.Errorf("at %v group %d slice %v is served by %v", sim.now, i, s, owners)
			}
			if len(owners) == 1 {
				sim.servedChecks++
				sim.servedBy[fmt.Sprint(i, owners[0])] = true
			}
		}
	}
	return nil
}
