// Package grants decides what one agent does as grantor of one group of slices:
// whom it asks, whom it grants, when it takes over and which record it proposes.
// It has no clock, network or goroutine: the time and the targets' reports come
// in, orders and records go out. Package agent carries them.
//
// It answers losses, pauses and cuts of the owner, of the grantor and of the
// store, in any combination. Without it either two targets serve the same key
// after a pause, or a key waits for the store during its outage. The rules and
// why they hold stand in docs/DESIGN.md, section 5; each guard names its rule.
package grants

import (
	"slices"
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// Params are one agent's identity and times.
type Params struct {
	// VM and Incarnation name the agent; Started is when it started, ns.
	VM          string
	Incarnation string
	Started     int64
	// ChecksFences says that the targets check fences. Those that do not are granted
	// only as the record has it: no takeover and no move by the grantor alone.
	ChecksFences bool
	// RenewInterval is the pause between two renewals.
	RenewInterval time.Duration
	// GrantTTL is how long a grant lives, on the target's clock.
	GrantTTL time.Duration
	// AuthorityTTL is how long an arbiter's confirmation counts, from the ask.
	AuthorityTTL time.Duration
	// ClockMargin is added to every end that is judged by another clock. Clocks may
	// run fast or slow by the part ClockMargin / (2*(Life+Authority) + ClockMargin).
	ClockMargin time.Duration
	// FastPathTimeout is how long a claim waits for the fast path before it asks
	// for an epoch of its own.
	FastPathTimeout time.Duration
	// UnservedTimeout is how long a group may be without a grant, though those before
	// in the line are heard, until the next one tries.
	UnservedTimeout time.Duration
	// ReleaseTimeout bounds how long a release may take.
	ReleaseTimeout time.Duration
}

// Order is what to send to one target. The shell batches the orders of a tick.
type Order struct {
	Target string
	// Incarnation is the listed one; "" only asks which it is.
	Incarnation string
	Rank        wire.Rank
	// Seq orders the orders of one rank.
	Seq    uint64
	Slices []keyspace.Slice
	// Until ends the grant on the target's clock; 0 fences without granting.
	Until   int64
	Release []keyspace.Slice
	// CreatedAt is the agent's time when the order was made.
	CreatedAt time.Duration
}

// Report is a target's answer to an order.
type Report struct {
	Incarnation string
	Refused     bool
	Clock       int64
	Confirmed   bool
	Fence       wire.Rank
	// PreviousFence is the fence that ours replaced at the target.
	PreviousFence wire.Rank
	HeldUntil     int64
	HeldRank      wire.Rank
	Running       int
}

// States and events of charts/grantor.jsonc and charts/grant.jsonc.
const (
	following statechart.State = "following"
	claiming  statechart.State = "claiming"
	granting  statechart.State = "granting"

	take     statechart.Event = "take"
	won      statechart.Event = "won"
	stepDown statechart.Event = "step down"

	none      statechart.State = "none"
	granted   statechart.State = "granted"
	releasing statechart.State = "releasing"
	expiring  statechart.State = "expiring"

	grant    statechart.Event = "grant"
	release  statechart.Event = "release"
	released statechart.Event = "released"
	overdue  statechart.Event = "overdue"
	silent   statechart.Event = "silent"
	end      statechart.Event = "end"
)

var (
	standingChart = charts.MustLoad("grantor")
	grantChart    = charts.MustLoad("grant")
)

// Group is one agent's part in one group. It is not safe for concurrent use.
//
// Invariant: no order leaves with a rank below rank, and sentUntil of a target
// is raised before any order that grants it leaves.
type Group struct {
	params   Params
	rec      model.Group
	rank     wire.Rank
	place    int
	standing *statechart.Machine
	grant    *statechart.Machine
	targets  map[string]*contact
	// target holds the grant, where the grant's state is not none.
	target string
	seq    uint64
	// sent is when the last orders left; due asks for orders at once.
	sent time.Duration
	due  bool
	// took is when the claim began, adopted when the record came.
	took, adopted time.Duration
	releaseFrom   time.Duration
	// outranked is the highest rank seen at a target above ours.
	outranked wire.Rank
	storeAt   stamp
	// confirmedAt is when a target last confirmed our grant.
	confirmedAt stamp
	// unserved is when the group was last seen served.
	unserved stamp
	carry    carry
	notes    []string
	broken   guard
}

// stamp is a time that may be missing.
type stamp struct {
	at time.Duration
	ok bool
}

func (s stamp) within(now, d time.Duration) bool { return s.ok && now-s.at < d }

// guard names a guard that a test takes out, to show that its checker finds it.
type guard string

// New returns the agent's part in the group of the record.
func New(p Params, rec model.Group, now time.Duration) *Group {
	g := &Group{params: p, standing: standingChart.Start(), grant: grantChart.Start(), targets: make(map[string]*contact)}
	g.install(rec, now)
	return g
}

// Adopt takes a record that came from the store. An older one is ignored.
func (g *Group) Adopt(rec model.Group, now time.Duration) {
	switch {
	case rec.Epoch < g.rec.Epoch:
		return
	case rec.Epoch == g.rec.Epoch:
		// Only what keeps the epoch may differ.
		g.rec.Owner, g.rec.Standby, g.rec.MoveTo = rec.Owner, rec.Standby, rec.MoveTo
		return
	}
	carried := g.carried(rec)
	g.quit("record of a new epoch")
	g.install(rec, now)
	g.carry = carried
}

func (g *Group) install(rec model.Group, now time.Duration) {
	g.rec, g.adopted = rec, now
	g.place = slices.Index(rec.Grantors, g.params.VM)
	g.rank = wire.Rank{Epoch: rec.Epoch, Succession: uint64(max(g.place, 0)), Incarnation: g.params.Started, Agent: g.params.VM}
	g.outranked, g.storeAt = wire.Rank{}, stamp{}
	g.due = true
	for _, c := range g.targets {
		c.forget()
	}
}

// quit stops granting and claiming.
func (g *Group) quit(why string) {
	if g.standing.Fire(stepDown) == nil {
		g.note("stepped down: " + why)
	}
	_ = g.grant.Fire(end)
	g.target = ""
}

func (g *Group) note(text string) { g.notes = append(g.notes, text) }

// TakeNotes returns the decisions since the last call, for the journal.
func (g *Group) TakeNotes() []string {
	n := g.notes
	g.notes = nil
	return n
}

// ConfirmedGrant returns the target in force and the rank, if it confirmed them.
func (g *Group) ConfirmedGrant(now time.Duration) (model.TargetRef, wire.Rank, bool) {
	if g.standing.State() == following || g.grant.State() == none {
		return model.TargetRef{}, g.rank, false
	}
	c := g.contact(g.target)
	return model.TargetRef{Name: g.target, Incarnation: c.incarnation}, g.rank, c.heldUntil > now && c.heldRank == g.rank
}

// Record returns the record in force.
func (g *Group) Record() model.Group { return g.rec }

// State names standing and grant, for dumps.
func (g *Group) State() (standing, grant statechart.State) {
	return g.standing.State(), g.grant.State()
}
