// Package placement decides which target owns which group of slices: the first
// plan of a service, the repair of a plan when targets or VMs come and go, and
// the moves that even out load.
//
// Load pattern: hot keys that change within minutes, and targets that join,
// leave and are lost every day. Without it, either a hot key overloads its
// target for as long as it is hot, or (with plain consistent hashing) ownership
// follows the list of servers and nothing else: hot targets stay hot. A planner
// without a price for moves would chase each hot key, and every move makes
// callers wait.
//
// So each move must be worth its cost, by the weights of the service; there is
// a band in which imbalance is left alone, a budget of moves a minute, and a
// bound on moves towards one target at a time, whose caches are cold. What has
// to move (its owner leaves) moves outside the budget.
//
// Grounds of the figures: see each constant; docs/DESIGN.md section 6 holds the
// measured outcomes for both users' weights.
package placement

import (
	"fmt"
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
)

// VM is a VM that may hold a grantor.
type VM struct {
	Name       string
	DataCentre string
}

// Serving says which target a group's grantor has in force, and at which epoch.
type Serving struct {
	Target model.TargetRef
	Epoch  uint64
}

// Input is what the assigner knows at one moment. It is not changed.
type Input struct {
	// Now is a reading of a clock that never goes back.
	Now     time.Duration
	Service *model.Service
	// VMs are the live ones that are not leaving.
	VMs []VM
	// Listed is how many VMs the platform lists as live, 0 if not known.
	Listed     int
	Assignment *model.Assignment
	// Serving is the grant table, by group.
	Serving map[uint64]Serving
	// Load is requests per second by group; groups without an entry had none.
	Load map[uint64]float64
	// Leaving and Lost are names of targets. Both lag and may mislead: they
	// decide who stands by, never who may serve.
	Leaving, Lost map[string]bool
	// Incarnations are what targets last reported of themselves, by name.
	Incarnations map[string]string
	// Released reports which groups' grants are known to have expired: released by the
	// owner or waited out. Only those may be split.
	Released map[uint64]bool
	// Author is the incarnation of the planning agent.
	Author string
}

// Kind is what a decision changes.
type Kind string

// The kinds of decisions. Only Move takes keys from one target to another.
const (
	Move    Kind = "move"
	Abandon Kind = "abandon"
	Standby Kind = "standby"
	Witness Kind = "witness"
	Line    Kind = "grantors"
	Divide  Kind = "split"
	First   Kind = "initial"
)

// Decision is one change of a group, with its cause.
type Decision struct {
	Kind  Kind
	Group uint64
	Text  string
}

// Result is the assignment to write. Nothing is to be written where there are no
// decisions.
type Result struct {
	Assignment model.Assignment
	Decisions  []Decision
}

// Planner plans one service. It keeps what the record does not say: moves under
// way, the budget, since when a VM or target is missing. All of it may be lost
// with the assigner: the next one sees the record and plans anew. It is not safe
// for concurrent use.
type Planner struct {
	// Splits lets the planner split hot groups; see splitHot.
	Splits bool

	moves  map[uint64]*move
	budget budget
	// loadSince is when this planner first had load figures.
	loadSince time.Duration
	loadKnown bool
	// wanted is since when a first plan is due; asked reports whether one is.
	wanted time.Duration
	asked  bool
	// missing is since when a VM (by "vm/NAME") or target is gone.
	missing map[string]time.Duration
}

// New returns a planner without memory.
func New() *Planner {
	return &Planner{moves: make(map[uint64]*move), missing: make(map[string]time.Duration)}
}

// round is one run of Plan.
type round struct {
	*Planner
	in     *Input
	policy Policy
	next   model.Assignment
	// targets are the service's, by name; fit are the names, sorted, of those
	// that may be given new roles.
	targets map[string]model.Target
	fit     []string
	// vmDC is the data centres of the live VMs.
	vmDC map[string]string
	// planned is the load of targets at the beginning of the round.
	planned loads
	// touched are groups changed in this round; each change is one new epoch.
	touched   map[uint64]bool
	decisions []Decision
}

// Plan returns the changes that are due now.
func (p *Planner) Plan(in *Input) Result {
	r := newRound(p, in)
	r.next = *in.Assignment
	r.next.Groups = slices.Clone(in.Assignment.Groups)
	r.noteMissing()
	r.followGrants()
	r.planned = r.measure()
	r.repair()
	r.splitHot()
	r.balance()
	r.raiseEpochs()
	return Result{Assignment: r.next, Decisions: r.decisions}
}

// Forget drops the moves whose record was not written; those in the record are
// adopted from it.
func (p *Planner) Forget() { clear(p.moves) }

// raiseEpochs gives a new epoch to each group with other targets or grantors,
// and lists the targets that leave it. An intent alone keeps the epoch, so that
// no rank changes for it.
func (r *round) raiseEpochs() {
	before := make(map[uint64]*model.Group, len(r.in.Assignment.Groups))
	for i := range r.in.Assignment.Groups {
		before[r.in.Assignment.Groups[i].ID] = &r.in.Assignment.Groups[i]
	}
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		if !r.touched[g.ID] {
			continue
		}
		g.Author = r.in.Author
		old := before[g.ID]
		if old == nil {
			g.Epoch = 1
			continue
		}
		if sameRoles(old, g) {
			g.Author = old.Author
			continue
		}
		g.Epoch++
		grants.SetPreviousArbiters(old, g)
	}
}

func sameRoles(a, b *model.Group) bool {
	return a.Owner == b.Owner && a.Standby == b.Standby && a.Witness == b.Witness && slices.Equal(a.Grantors, b.Grantors)
}

func newRound(p *Planner, in *Input) *round {
	r := &round{Planner: p, in: in, policy: PolicyOf(in.Service.Weights), touched: make(map[uint64]bool)}
	r.targets = make(map[string]model.Target, len(in.Service.Targets))
	for _, t := range in.Service.Targets {
		r.targets[t.Name] = t
		if !in.Leaving[t.Name] && !in.Lost[t.Name] {
			r.fit = append(r.fit, t.Name)
		}
	}
	slices.Sort(r.fit)
	r.vmDC = make(map[string]string, len(in.VMs))
	for _, vm := range in.VMs {
		r.vmDC[vm.Name] = vm.DataCentre
	}
	return r
}

func (r *round) decide(k Kind, g *model.Group, format string, args ...any) {
	r.touched[g.ID] = true
	r.decisions = append(r.decisions, Decision{Kind: k, Group: g.ID, Text: fmt.Sprintf(format, args...)})
}

// usable reports whether new roles may be given to the target.
func (r *round) usable(name string) bool {
	_, listed := r.targets[name]
	return listed && !r.in.Leaving[name] && !r.in.Lost[name]
}

func (r *round) ref(name string) model.TargetRef {
	return model.TargetRef{Name: name, Incarnation: r.in.Incarnations[name]}
}

func (r *round) dataCentre(target string) string {
	return r.targets[target].DataCentre
}

// noteMissing dates the absence of VMs and targets that the record names.
func (r *round) noteMissing() {
	gone := make(map[string]bool)
	for _, g := range r.next.Groups {
		for _, vm := range g.Grantors {
			if !slices.ContainsFunc(r.in.VMs, func(v VM) bool { return v.Name == vm }) {
				gone[vmKey(vm)] = true
			}
		}
		if _, listed := r.targets[g.Owner.Name]; !listed {
			gone[g.Owner.Name] = true
		}
	}
	for name := range r.missing {
		if !gone[name] {
			delete(r.missing, name)
		}
	}
	for name := range gone {
		if _, known := r.missing[name]; !known {
			r.missing[name] = r.in.Now
		}
	}
}

func vmKey(vm string) string { return "vm/" + vm }

// missingFor returns how long the VM or target has been gone.
func (r *round) missingFor(name string) time.Duration {
	since, gone := r.missing[name]
	if !gone {
		return 0
	}
	return r.in.Now - since
}

// destination is the target that serves the group once its move is done.
func (r *round) destination(g *model.Group) string {
	if m := r.moves[g.ID]; m != nil {
		return m.to
	}
	if g.MoveTo != "" {
		return g.MoveTo
	}
	return g.Owner.Name
}
