package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hemlockquay/internal/decide/loadmeter"
	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// simulation runs a planner in virtual time. Plans are in the record at once;
// applyGrants simulates grantors that carry out the record, and swap owner and standby
// in it after a takeover or move. moves counts changes of a group's serving target.
type simulation struct {
	in      Input
	planner *Planner
	step    time.Duration
	moves   int
	kinds   map[Kind]int
}

func newSimulation(targets, dcs, vms, slices int, w model.Weights) *simulation {
	s := &model.Service{Name: "s", Keyed: true, Slots: 3, Connections: 110, ChecksFences: true, Slices: slices, Weights: w}
	for i := range targets {
		s.Targets = append(s.Targets, testTarget(i, dcs))
	}
	if err := s.Check(); err != nil {
		panic(err)
	}
	wd := &simulation{planner: New(), step: 5 * time.Second, kinds: make(map[Kind]int)}
	wd.in = Input{Service: s, Serving: make(map[uint64]Serving), Load: make(map[uint64]float64),
		Leaving: make(map[string]bool), Lost: make(map[string]bool), Author: "test"}
	for i := range vms {
		wd.in.VMs = append(wd.in.VMs, VM{Name: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%dcs)})
	}
	a := Initial(&wd.in)
	wd.in.Assignment = &a
	wd.applyGrants()
	wd.moves = 0
	return wd
}

func testTarget(i, dcs int) model.Target {
	return model.Target{Name: fmt.Sprintf("t%02d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: fmt.Sprintf("dc%d", i%dcs)}
}

func (w *simulation) applyGrants() {
	for i := range w.in.Assignment.Groups {
		g := &w.in.Assignment.Groups[i]
		to := g.Owner.Name
		if g.MoveTo != "" && !w.in.Lost[g.MoveTo] {
			to = g.MoveTo
		}
		if w.in.Lost[to] {
			to = g.Standby.Name
		}
		if w.in.Serving[g.ID].Target.Name != to {
			w.moves++
		}
		if to == g.Standby.Name {
			g.Owner, g.Standby = g.Standby, g.Owner
		}
		if g.MoveTo == to {
			g.MoveTo = ""
		}
		w.in.Serving[g.ID] = Serving{Target: g.Owner, Epoch: g.Epoch}
	}
}

// planOnce advances the time by one step, runs the planner and applies its plan.
func (w *simulation) planOnce() {
	w.in.Now += w.step
	r := w.planner.Plan(&w.in)
	for _, d := range r.Decisions {
		w.kinds[d.Kind]++
	}
	w.in.Assignment = &r.Assignment
	w.applyGrants()
}

func (w *simulation) run(d time.Duration) {
	for end := w.in.Now + d; w.in.Now < end; {
		w.planOnce()
	}
}

// owned returns how many groups each target serves.
func (w *simulation) owned() map[string]int {
	n := make(map[string]int)
	for _, s := range w.in.Serving {
		n[s.Target.Name]++
	}
	return n
}

// traffic is load with a Zipf distribution over keys, plus one hot key with one
// request in twenty (hotShare), which changes each minute.
type traffic struct {
	points []keyspace.Point
	share  []float64
	rand   *rand.Rand
	hot    int
	meter  *loadmeter.Meter
	// group and hashed are each key's group, and its target by rendezvous hashing;
	// neither changes as long as the list of targets stays the same.
	group  []uint64
	hashed []string
}

const (
	zipfExponent = 1.1
	hotShare     = 0.05
	requestRate  = 1000 // per second
)

func newTraffic(keys int, seed uint64) *traffic {
	t := &traffic{rand: rand.New(rand.NewPCG(seed, 1)), meter: loadmeter.New()}
	var sum float64
	for i := range keys {
		t.points = append(t.points, keyspace.PointOf(fmt.Sprintf("key-%d-%d", seed, i)))
		t.share = append(t.share, math.Pow(float64(i+1), -zipfExponent))
		sum += t.share[i]
	}
	for i := range t.share {
		t.share[i] *= (1 - hotShare) / sum
	}
	return t
}

// sendSecond sends the requests of one second and returns the highest load over the
// mean load of targets: with the planner's owners, with rendezvous hashing of keys, and
// a lower bound for any placement of whole groups.
func (t *traffic) sendSecond(w *simulation) (planned, hashed, least float64) {
	if w.in.Now%time.Minute == 0 {
		t.hot = t.rand.IntN(len(t.points))
	}
	if t.group == nil {
		t.assignKeys(w)
	}
	byTarget, byHash, byGroup := map[string]float64{}, map[string]float64{}, map[uint64]float64{}
	for i := range t.points {
		share := t.share[i]
		if i == t.hot {
			share += hotShare
		}
		g := t.group[i]
		byGroup[g] += share
		byTarget[w.in.Serving[g].Target.Name] += share
		byHash[t.hashed[i]] += share
	}
	for g, share := range byGroup {
		t.meter.Add(loadmeter.Group{Service: "s", Group: g}, share*requestRate, w.in.Now)
	}
	clear(w.in.Load)
	for _, r := range t.meter.Hottest(1<<16, w.in.Now) {
		w.in.Load[r.Group.Group] = r.Rate
	}
	n := float64(len(w.in.Service.Targets))
	return highest(byTarget) * n, highest(byHash) * n, max(1, highest(byGroup)*n)
}

func (t *traffic) assignKeys(w *simulation) {
	var candidates []rendezvous.Candidate
	for _, s := range w.in.Service.Targets {
		candidates = append(candidates, rendezvous.Candidate{VM: s.Name})
	}
	group := groupsByPoint(w.in.Assignment)
	for _, p := range t.points {
		t.group = append(t.group, group(p))
		t.hashed = append(t.hashed, candidates[rendezvous.Rank(candidates, fmt.Sprint(p), "")[0]].VM)
	}
}

func highest[K comparable](m map[K]float64) float64 {
	var h float64
	for _, v := range m {
		h = max(h, v)
	}
	return h
}

func groupsByPoint(a *model.Assignment) func(keyspace.Point) uint64 {
	return func(p keyspace.Point) uint64 {
		for _, g := range a.Groups {
			for _, s := range g.Slices {
				if s.Contains(p) {
					return g.ID
				}
			}
		}
		panic("no group contains the point")
	}
}
