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

// A walk drives several agents, targets and one store through random steps and
// checks after each that no slice has two owners. It uses the stand-in's fences
// as the targets and the grantor's own code as the agents.

const (
	ms       = time.Millisecond
	walkVMs  = 3
	walkTgts = 4
	service  = "s"
)

// walkParams has a wide margin, so that clocks may run 9% off and a walk finds
// the lack of it.
func walkParams(vm string, started int64) Params {
	return Params{
		VM: vm, Incarnation: fmt.Sprintf("%s-%d", vm, started), Started: started,
		ChecksFences: true, RenewInterval: 150 * ms, GrantTTL: 600 * ms, AuthorityTTL: 500 * ms, ClockMargin: 220 * ms, FastPathTimeout: 300 * ms, ReleaseTimeout: 500 * ms, UnservedTimeout: 700 * ms,
	}
}

const driftBound = 0.09

// chance is the source of a walk's choices: rapid, or a seed.
type chance interface{ IntN(n int) int }

// clock runs at its own rate from its own origin.
type clock struct {
	origin time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Duration { return c.origin + time.Duration(float64(t)*c.rate) }

type walkAgent struct {
	vm      string
	clock   clock
	groups  []*Group
	version int
	suspect [walkVMs]bool
	cutOff  bool // from the store
}

type walkTarget struct {
	clock   clock
	lives   int
	fences  *standin.Fences
	running int
	maxSeen map[uint64]wire.Rank
}

// letter is an order in flight, or its report on the way back.
type letter struct {
	agent  *walkAgent
	group  int
	order  Order
	report *Report
}

// draft is a record in flight to the store.
type draft struct {
	agent *walkAgent
	base  int
	group int
	rec   model.Group
}

type walk struct {
	chance  chance
	broken  guard
	now     time.Duration
	agents  []*walkAgent // the last life of each VM
	zombies []*walkAgent
	targets [walkTgts]*walkTarget
	cut     [walkVMs][walkTgts]bool // orders
	lost    [walkVMs][walkTgts]bool // reports
	letters []letter
	drafts  []draft
	store   []model.Group
	version int
	started int64
	served  map[string]bool
	served2 int
}

func newWalk(c chance, broken guard) *walk {
	w := &walk{chance: c, broken: broken, served: make(map[string]bool)}
	for i := range w.targets {
		w.targets[i] = &walkTarget{clock: w.newClock()}
		w.restartTarget(i)
	}
	lines := [][]string{{"vm0", "vm1", "vm2"}, {"vm1", "vm2", "vm0"}}
	for i := range lines {
		w.store = append(w.store, model.Group{
			ID: uint64(i), Epoch: 1, Grantors: lines[i], Author: "planner-1",
			Slices: []keyspace.Slice{{First: keyspace.Point(i * 200), Last: keyspace.Point(i*200 + 99)}, {First: keyspace.Point(i*200 + 100), Last: keyspace.Point(i*200 + 199)}},
			Owner:  w.ref(i), Standby: w.ref(i + 1), Witness: w.ref(i + 2),
		})
	}
	w.version = 1
	for i := range walkVMs {
		w.agents = append(w.agents, w.newAgent(fmt.Sprintf("vm%d", i)))
	}
	return w
}

func (w *walk) newClock() clock {
	rate := 1 + driftBound*float64(w.chance.IntN(3)-1)
	return clock{time.Duration(1+w.chance.IntN(1000)) * ms, rate}
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func (w *walk) ref(i int) model.TargetRef {
	return model.TargetRef{Name: targetName(i), Incarnation: fmt.Sprintf("t%d.%d", i, w.targets[i].lives)}
}

func (w *walk) newAgent(vm string) *walkAgent {
	w.started++
	a := &walkAgent{vm: vm, clock: w.newClock(), version: w.version}
	for _, rec := range w.store {
		g := New(walkParams(vm, w.started), rec, a.clock.at(w.now))
		g.broken = w.broken
		a.groups = append(a.groups, g)
	}
	return a
}

func (w *walk) restartTarget(i int) {
	t := w.targets[i]
	t.lives++
	t.fences = standin.NewFences(fmt.Sprintf("t%d.%d", i, t.lives))
	t.maxSeen = make(map[uint64]wire.Rank)
	t.running = 0
}

func (w *walk) oneIn(n int) bool { return w.chance.IntN(n) == 0 }

// step does one thing and checks.
func (w *walk) step() error {
	switch k := w.chance.IntN(100); {
	case k < 15:
		w.now += time.Duration(1+w.chance.IntN(80)) * ms
	case k < 30:
		w.tick()
	case k < 65:
		return w.round()
	case k < 80:
		if err := w.deliver(); err != nil {
			return err
		}
	case k < 84:
		w.sync()
	case k < 90:
		w.write()
	default:
		w.fault()
	}
	return w.check()
}

func (w *walk) anyAgent() *walkAgent {
	i := w.chance.IntN(walkVMs + len(w.zombies))
	if i < walkVMs {
		return w.agents[i]
	}
	return w.zombies[i-walkVMs]
}

func (w *walk) tick() { w.tickAgent(w.anyAgent()) }

func (w *walk) tickAgent(a *walkAgent) {
	now := a.clock.at(w.now)
	observation := Observation{Live: func(vm string) bool { return !a.suspect[vm[2]-'0'] }}
	for i, g := range a.groups {
		observation.Served = w.isServed(i) && !a.cutOff
		for _, o := range g.Tick(now, observation) {
			w.letters = append(w.letters, letter{agent: a, group: i, order: o})
		}
		if rec, ok := g.Proposal(now, observation); ok {
			w.drafts = append(w.drafts, draft{a, a.version, i, rec})
		}
		if g.NeedsStore(now) && !a.cutOff {
			g.HandleStoreRead(w.store[i].Epoch, now)
		}
	}
}

// isServed reports whether a live agent's grant is known.
func (w *walk) isServed(i int) bool {
	for _, a := range w.agents {
		if _, _, ok := a.groups[i].ConfirmedGrant(a.clock.at(w.now)); ok {
			return true
		}
	}
	return false
}

// round lets every agent run undisturbed, so that walks make progress.
func (w *walk) round() error {
	for _, a := range append(slices.Clone(w.agents), w.zombies...) {
		w.tickAgent(a)
		if !a.cutOff {
			w.syncAgent(a)
		}
	}
	if w.oneIn(2) {
		w.write()
	}
	for range 200 {
		if len(w.letters) == 0 {
			break
		}
		if err := w.carry(0); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	w.now += time.Duration(20+w.chance.IntN(130)) * ms
	return w.check()
}

func (w *walk) deliver() error {
	if len(w.letters) == 0 {
		return nil
	}
	return w.carry(w.chance.IntN(len(w.letters)))
}

// carry takes the i-th letter one way, loses it, or leaves a copy for later.
func (w *walk) carry(i int) error {
	l := w.letters[i]
	if len(w.letters) > 300 || !w.oneIn(30) {
		w.letters = slices.Delete(w.letters, i, i+1)
	}
	vm, tgt := int(l.agent.vm[2]-'0'), int(l.order.Target[1]-'0')
	if l.report != nil {
		if !w.lost[vm][tgt] {
			l.agent.groups[l.group].HandleReport(&l.order, l.report, l.agent.clock.at(w.now))
		}
		return nil
	}
	if w.cut[vm][tgt] {
		return nil
	}
	report, err := w.apply(tgt, l)
	if err != nil {
		return err
	}
	w.letters = append(w.letters, letter{l.agent, l.group, l.order, report})
	return nil
}

func (w *walk) apply(tgt int, l letter) (*Report, error) {
	t := w.targets[tgt]
	o := l.order
	id := w.store[l.group].ID
	r := t.fences.Apply(&target.Order{Incarnation: o.Incarnation, Groups: []target.GroupOrder{{
		Service: service, Group: id, Rank: o.Rank, Seq: o.Seq, Slices: o.Slices, Until: o.Until, Release: o.Release,
	}}}, int64(t.clock.at(w.now)), func(string, []keyspace.Slice) int { return t.running })
	if r.Refused {
		return &Report{Incarnation: r.Incarnation, Refused: true, Clock: r.Clock}, nil
	}
	g := r.Groups[0]
	if g.Confirmed && o.Rank.Compare(t.maxSeen[id]) < 0 {
		return nil, fmt.Errorf("%s took rank %v below %v", o.Target, o.Rank, t.maxSeen[id])
	}
	if o.Rank.Compare(t.maxSeen[id]) > 0 {
		t.maxSeen[id] = o.Rank
	}
	return &Report{
		Incarnation: r.Incarnation, Clock: r.Clock, Confirmed: g.Confirmed, Fence: g.Fence,
		PreviousFence: g.Before, HeldUntil: g.Held, HeldRank: g.HeldRank, Running: g.Running,
	}, nil
}

func (w *walk) sync() {
	a := w.anyAgent()
	if !a.cutOff {
		w.syncAgent(a)
	}
}

func (w *walk) syncAgent(a *walkAgent) {
	a.version = w.version
	for i, g := range a.groups {
		g.Adopt(w.store[i], a.clock.at(w.now))
	}
}

// write lets one draft reach the store. Its author learns of it by a later sync
// only, as when the answer is lost.
func (w *walk) write() {
	if len(w.drafts) == 0 {
		return
	}
	i := w.chance.IntN(len(w.drafts))
	d := w.drafts[i]
	w.drafts = slices.Delete(w.drafts, i, i+1)
	if len(w.drafts) > 50 {
		w.drafts = w.drafts[25:]
	}
	if d.base != w.version || d.agent.cutOff && w.oneIn(2) {
		return
	}
	w.version++
	w.store[d.group] = d.rec
}

// check finds a slice with two owners.
func (w *walk) check() error {
	for i := range w.store {
		for _, s := range w.store[i].Slices {
			var owners []string
			for j, t := range w.targets {
				if t.fences.Serves(service, s.First, int64(t.clock.at(w.now))) {
					owners = append(owners, targetName(j))
				}
			}
			if len(owners) > 1 {
				return fmt.Errorf("at %v group %d slice %v is served by %v", w.now, i, s, owners)
			}
			if len(owners) == 1 {
				w.served2++
				w.served[fmt.Sprint(i, owners[0])] = true
			}
		}
	}
	return nil
}
