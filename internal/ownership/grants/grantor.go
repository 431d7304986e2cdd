// Package grants decides what one agent does as the grantor of one group of slices:
// which targets it asks and which one it grants, when it takes over, and which record
// it proposes to the store. It has no clock, network or goroutine. The caller passes in
// the time and the targets' reports, and package agent carries out the orders and
// writes that are returned.
//
// It handles crashes, pauses and partitions of the owner, of the grantor and of the
// store, in any combination. Without it, two targets could serve the same key after a
// pause, or a key would be without service until the end of a store outage. The rules,
// and why they are safe, are in docs/DESIGN.md, section 5. Each check names its rule.
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

// Params are an agent's identity and timings.
type Params struct {
	// VM and Incarnation identify the agent; Started is its start time in nanoseconds.
	VM          string
	Incarnation string
	Started     int64
	// ChecksFences says that the targets check fences. Targets that do not are granted
	// only as the record says: the grantor neither takes over nor moves on its own.
	ChecksFences bool
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// GrantTTL is how long a grant is valid, on the target's clock.
	GrantTTL time.Duration
	// AuthorityTTL is how long an arbiter's confirmation is valid, counted from the
	// creation of the order that it confirms.
	AuthorityTTL time.Duration
	// ClockMargin is added to every deadline that another clock judges. Clock rates
	// may deviate by the fraction ClockMargin / (2*(GrantTTL+AuthorityTTL) + ClockMargin).
	ClockMargin time.Duration
	// FastPathTimeout is how long a claim waits for the fast path before it asks
	// for an epoch of its own.
	FastPathTimeout time.Duration
	// UnservedTimeout is how long a group may be without a grant, though agents earlier
	// in the succession line are alive, before the next one in the line claims it.
	UnservedTimeout time.Duration
	// ReleaseTimeout bounds how long a release may take.
	ReleaseTimeout time.Duration
}

// Order is a message to one target. The agent batches the orders of a tick.
type Order struct {
	Target string
	// Incarnation is the listed incarnation; "" only asks for the current one.
	Incarnation string
	Rank        wire.Rank
	// Seq numbers the orders of one rank.
	Seq    uint64
	Slices []keyspace.Slice
	// Until is the end of the grant on the target's clock; 0 fences without granting.
	Until   int64
	Release []keyspace.Slice
	// CreatedAt is the agent's time when the order was created.
	CreatedAt time.Duration
}

// Report is a target's answer to an order.
type Report struct {
	Incarnation string
	Refused     bool
	Clock       int64
	Confirmed   bool
	Fence       wire.Rank
	// PreviousFence is the fence that the order's rank replaced at the target.
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
	grantorChart = charts.MustLoad("grantor")
	grantChart   = charts.MustLoad("grant")
)

// Group is one agent's part in the granting of one group. It is not safe for
// concurrent use.
//
// Invariant: no order is sent with a rank below rank, and sentUntil of a target is
// raised before an order that grants it is sent.
type Group struct {
	params   Params
	rec      model.Group
	rank     wire.Rank
	position int
	role     *statechart.Machine
	grant    *statechart.Machine
	targets  map[string]*targetState
	// grantedTarget holds the grant, unless the grant's state is none.
	grantedTarget string
	seq           uint64
	// lastSent is when the last orders were sent; sendNow requests orders at once.
	lastSent time.Duration
	sendNow  bool
	// claimedAt is when the claim began, adoptedAt when the record was adopted.
	claimedAt, adoptedAt time.Duration
	releaseStarted       time.Duration
	// higherRank is the highest rank above ours that a target has reported.
	higherRank     wire.Rank
	storeConfirmed optionalTime
	// confirmedAt is when a target last confirmed our grant.
	confirmedAt optionalTime
	// lastServed is when the group was last observed to be served.
	lastServed  optionalTime
	carriedOver carriedGrant
	notes       []string
	mutation    mutation
}

// optionalTime is a time that may be unset.
type optionalTime struct {
	at time.Duration
	ok bool
}

func (s optionalTime) within(now, d time.Duration) bool { return s.ok && now-s.at < d }

// mutation names a safety check that a test disables, to show that the invariant
// checker notices its absence.
type mutation string

// New returns the agent's part in the group that the record describes.
func New(p Params, rec model.Group, now time.Duration) *Group {
	g := &Group{params: p, role: grantorChart.Start(), grant: grantChart.Start(), targets: make(map[string]*targetState)}
	g.setRecord(rec, now)
	return g
}

// Adopt takes over a record read from the store. Older records are ignored.
func (g *Group) Adopt(rec model.Group, now time.Duration) {
	switch {
	case rec.Epoch < g.rec.Epoch:
		return
	case rec.Epoch == g.rec.Epoch:
		// Only these fields may change within an epoch.
		g.rec.Owner, g.rec.Standby, g.rec.MoveTo = rec.Owner, rec.Standby, rec.MoveTo
		return
	}
	carried := g.carryOver(rec)
	g.resign("record of a new epoch")
	g.setRecord(rec, now)
	g.carriedOver = carried
}

func (g *Group) setRecord(rec model.Group, now time.Duration) {
	g.rec, g.adoptedAt = rec, now
	g.position = slices.Index(rec.Grantors, g.params.VM)
	g.rank = wire.Rank{Epoch: rec.Epoch, Succession: uint64(max(g.position, 0)), Incarnation: g.params.Started, Agent: g.params.VM}
	g.higherRank, g.storeConfirmed = wire.Rank{}, optionalTime{}
	g.sendNow = true
	for _, ts := range g.targets {
		ts.resetForNewRank()
	}
}

// resign stops granting and claiming.
func (g *Group) resign(why string) {
	if g.role.Fire(stepDown) == nil {
		g.note("stepped down: " + why)
	}
	_ = g.grant.Fire(end)
	g.grantedTarget = ""
}

func (g *Group) note(text string) { g.notes = append(g.notes, text) }

// TakeNotes returns the decisions since the last call, for the journal.
func (g *Group) TakeNotes() []string {
	n := g.notes
	g.notes = nil
	return n
}

// ConfirmedGrant returns the granted target and the rank, and whether the target has
// confirmed the grant.
func (g *Group) ConfirmedGrant(now time.Duration) (model.TargetRef, wire.Rank, bool) {
	if g.role.State() == following || g.grant.State() == none {
		return model.TargetRef{}, g.rank, false
	}
	ts := g.stateOf(g.grantedTarget)
	return model.TargetRef{Name: g.grantedTarget, Incarnation: ts.incarnation}, g.rank, ts.heldUntil > now && ts.heldRank == g.rank
}

// Record returns the record in force.
func (g *Group) Record() model.Group { return g.rec }

// State returns the states of the grantor role and of the grant, for dumps.
func (g *Group) State() (role, grant statechart.State) {
	return g.role.State(), g.grant.State()
}
