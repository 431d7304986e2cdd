// Package placement decides which target owns which group of slices: the first
// plan of a service, the repair of a plan when targets or VMs come and go, and
// the moves that even out load.
//
// The expected load has hot keys that change within minutes, and targets that
// join, leave and are lost every day. Without load-based placement a hot key
// overloads its target for as long as it is hot; with plain consistent hashing
// ownership depends on the list of servers only, so hot targets stay hot. A
// planner that ignored the cost of moves would follow each hot key, and every
// move makes callers wait.
//
// A move must therefore gain more than it costs, according to the weights of the
// service. Imbalance within a band is tolerated, the number of moves per minute is
// limited by a budget, and only a few groups move to one target at a time, because
// its caches are cold for them. Groups whose owner leaves move outside the budget.
//
// Each constant states the reason for its value; docs/DESIGN.md section 6 has the
// measured outcomes for both users' weights.
package placement

import (
	"fmt"
	"slices"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
)

// VM is a VM that may run a grantor.
type VM struct {
	Name       string
	DataCentre string
}

// Serving is the target that holds the grant of a group, and the epoch of the grant.
type Serving struct {
	Target model.TargetRef
	Epoch  uint64
}

// Input is the assigner's view at one moment. The planner does not modify it.
type Input struct {
	// Now is a reading of a monotonic clock.
	Now     time.Duration
	Service *model.Service
	// VMs are the live VMs that are not leaving.
	VMs []VM
	// Listed is the number of VMs that the platform lists as live, 0 if unknown.
	Listed     int
	Assignment *model.Assignment
	// Serving is the grant table, by group.
	Serving map[uint64]Serving
	// Load is requests per second by group; groups without an entry had no requests.
	Load map[uint64]float64
	// Leaving and Lost are names of targets. Both lag behind and may be wrong, so
	// they only influence which targets get new roles, never which may serve.
	Leaving, Lost map[string]bool
	// Incarnations are the incarnations that targets last reported, by target name.
	Incarnations map[string]string
	// Released are the groups whose grants are known to have ended, because the owner
	// released them or they expired. Only these groups may be split.
	Released map[uint64]bool
	// Author is the incarnation of the planning agent.
	Author string
}

// Kind is what a decision changes.
type Kind string

// The kinds of decisions. Only Move transfers keys from one target to another.
const (
	Move       Kind = "move"
	Withdraw   Kind = "abandon"
	Standby    Kind = "standby"
	Witness    Kind = "witness"
	Succession Kind = "grantors"
	Split      Kind = "split"
	Initialise Kind = "initial"
)

// Decision is one change of a group. Text describes it and its cause for the log.
type Decision struct {
	Kind  Kind
	Group uint64
	Text  string
}

// Result is the assignment to write. Without decisions there is nothing to write.
type Result struct {
	Assignment model.Assignment
	Decisions  []Decision
}

// Planner plans one service. It keeps the state that the record does not contain:
// moves in progress, the move budget, and since when a VM or target has been
// missing. This state may be lost with the assigner; its successor plans from the
// record alone. A Planner is not safe for concurrent use.
type Planner struct {
	// Splits enables the splitting of hot groups; see splitHot.
	Splits bool

	moves  map[uint64]*move
	budget budget
	// loadSince is when this planner first received load figures.
	loadSince time.Duration
	loadKnown bool
	// firstPlanSince is when PlanFirst was first called; firstPlanDue reports whether
	// it has been.
	firstPlanSince time.Duration
	firstPlanDue   bool
	// missingSince is when a VM (under the key "vm/NAME") or target disappeared.
	missingSince map[string]time.Duration
}

// New returns a planner without any state.
func New() *Planner {
	return &Planner{moves: make(map[uint64]*move), missingSince: make(map[string]time.Duration)}
}

// round is one run of Plan.
type round struct {
	*Planner
	in     *Input
	policy Policy
	next   model.Assignment
	// targets are the service's targets by name; eligible are the sorted names of
	// those that may get new roles.
	targets  map[string]model.Target
	eligible []string
	// vmDC is the data centre of each live VM, by VM name.
	vmDC map[string]string
	// initialLoads is the load of targets at the beginning of the round.
	initialLoads loads
	// changed are the groups changed in this round; raiseEpochs gives each at most
	// one new epoch.
	changed   map[uint64]bool
	decisions []Decision
}

// Plan returns the changes that are due now.
func (p *Planner) Plan(in *Input) Result {
	r := newRound(p, in)
	r.next = *in.Assignment
	r.next.Groups = slices.Clone(in.Assignment.Groups)
	r.recordMissing()
	r.reconcileMoves()
	r.initialLoads = r.measureLoads()
	r.repair()
	r.splitHot()
	r.balance()
	r.raiseEpochs()
	return Result{Assignment: r.next, Decisions: r.decisions}
}

// DropMoves drops all moves in progress after a record could not be written. Moves
// that the record contains are adopted from it in the next round.
func (p *Planner) DropMoves() { clear(p.moves) }

// raiseEpochs gives a new epoch to each group whose targets or grantors changed,
// and lists the targets that lost a role as previous. A change of the intent alone
// keeps the epoch, so that no rank changes because of it.
func (r *round) raiseEpochs() {
	before := make(map[uint64]*model.Group, len(r.in.Assignment.Groups))
	for i := range r.in.Assignment.Groups {
		before[r.in.Assignment.Groups[i].ID] = &r.in.Assignment.Groups[i]
	}
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		if !r.changed[g.ID] {
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
	r := &round{Planner: p, in: in, policy: PolicyOf(in.Service.Weights), changed: make(map[uint64]bool)}
	r.targets = make(map[string]model.Target, len(in.Service.Targets))
	for _, t := range in.Service.Targets {
		r.targets[t.Name] = t
		if !in.Leaving[t.Name] && !in.Lost[t.Name] {
			r.eligible = append(r.eligible, t.Name)
		}
	}
	slices.Sort(r.eligible)
	r.vmDC = make(map[string]string, len(in.VMs))
	for _, vm := range in.VMs {
		r.vmDC[vm.Name] = vm.DataCentre
	}
	return r
}

func (r *round) decide(k Kind, g *model.Group, format string, args ...any) {
	r.changed[g.ID] = true
	r.decisions = append(r.decisions, Decision{Kind: k, Group: g.ID, Text: fmt.Sprintf(format, args...)})
}

// usable reports whether the target may get new roles.
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

// recordMissing records since when VMs and targets named in the record are missing.
func (r *round) recordMissing() {
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
	for name := range r.missingSince {
		if !gone[name] {
			delete(r.missingSince, name)
		}
	}
	for name := range gone {
		if _, known := r.missingSince[name]; !known {
			r.missingSince[name] = r.in.Now
		}
	}
}

func vmKey(vm string) string { return "vm/" + vm }

// missingFor returns how long the VM or target has been missing, 0 if it is not.
func (r *round) missingFor(name string) time.Duration {
	since, gone := r.missingSince[name]
	if !gone {
		return 0
	}
	return r.in.Now - since
}

// destination returns the target that will own the group once its move, if any, is done.
func (r *round) destination(g *model.Group) string {
	if m := r.moves[g.ID]; m != nil {
		return m.to
	}
	if g.MoveTo != "" {
		return g.MoveTo
	}
	return g.Owner.Name
}
