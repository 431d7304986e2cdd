// Package ownership decides who owns keys: who plans a service's assignment,
// and the grants that carry it out. Its decisions take time and messages as
// values and return what to do; package agent carries them.
package ownership

import (
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// Times of the election. Nothing waits for an assigner but moves and repairs of
// the record: grants and takeovers go on without it. So the times are long, and
// the writes few: one in two seconds for each keyed service.
const (
	// AssignerTTL is how long an assigner holds its service after a renewal.
	AssignerTTL = 6 * time.Second
	// AssignerRenewInterval is the pause between renewals: two may be lost.
	AssignerRenewInterval = 2 * time.Second
	// claimStagger spreads the followers' claims by their rank, so that one write
	// and not nine are made when a holder is lost.
	claimStagger = 300 * time.Millisecond
)

var assignerChart = charts.MustLoad("assigner")

// Names in charts/assigner.jsonc.
const (
	following = statechart.State("following")
	claiming  = statechart.State("claiming")
	holding   = statechart.State("holding")

	eventSilent = statechart.Event("silent")
	eventSeen   = statechart.Event("seen")
	eventWon    = statechart.Event("won")
	eventLost   = statechart.Event("lost")
	eventLapse  = statechart.Event("lapse")

	eventUnknown = statechart.Event("unknown")
)

// Claim is a conditional write of a service's assigner object, expecting Version.
type Claim struct {
	Object  model.Assigner
	Version uint64
}

// Election is one agent's part in the election of one service's assigner. All
// times are readings of CLOCK_BOOTTIME. It is not safe for concurrent use.
//
// Safety does not rest on clocks: a deposed assigner that does not know it plans
// on a version of the assignment that its successor has replaced, and its write
// conflicts. The life only keeps two from planning at the same time for long.
//
// Failure: a holder is suspended for minutes and goes on as if nothing had
// happened. CLOCK_BOOTTIME counted on, so Holds is false at its first question.
type Election struct {
	self    model.Assigner
	machine *statechart.Machine
	// latest is the object of the highest version, seenAt when its renewal was
	// first latest here.
	latest       model.Assigner
	version      uint64
	waitingSince time.Duration
	// sentAt is when the write under way was sent, heldSince when the last one
	// that succeeded was. A hold is dated from the send: the store may have
	// taken it at any time after.
	sentAt, heldSince time.Duration
	writePending      bool
}

// NewElection returns the part of the agent on a VM in one incarnation.
func NewElection(service, vm, incarnation string, now time.Duration) *Election {
	return &Election{
		self:         model.Assigner{Service: service, Holder: vm, Incarnation: incarnation},
		machine:      assignerChart.Start(),
		waitingSince: now,
	}
}

// Observe takes the object as watched or read; older versions are ignored.
func (e *Election) Observe(now time.Duration, a model.Assigner, version uint64) {
	if version <= e.version {
		return
	}
	e.latest, e.version, e.waitingSince = a, version, now
	if !e.isOwn(a) {
		_ = e.machine.Fire(eventSeen)
	}
}

func (e *Election) isOwn(a model.Assigner) bool {
	return a.Holder == e.self.Holder && a.Incarnation == e.self.Incarnation
}

// Step returns the write that is due, or nil. rank is the agent's place among
// the live ones for this service, 0 first. Done or Unknown must follow each write.
func (e *Election) Step(now time.Duration, rank int) *Claim {
	if e.machine.State() == holding && !e.Holds(now) {
		_ = e.machine.Fire(eventLapse)
		// The lapsed holder waits like the others: one of them may be ahead.
		e.waitingSince = now
	}
	if e.writePending {
		return nil
	}
	switch e.machine.State() {
	case holding:
		if now-e.heldSince < AssignerRenewInterval {
			return nil
		}
	case following:
		if !e.holderExpired(now, rank) || e.machine.Fire(eventSilent) != nil {
			return nil
		}
	}
	return e.newClaim(now)
}

// holderExpired reports whether the same renewal was seen for the time to live. A service
// without an object is claimed at once, by rank.
func (e *Election) holderExpired(now time.Duration, rank int) bool {
	wait := time.Duration(rank) * claimStagger
	if e.version != 0 {
		wait += AssignerTTL
	}
	return now-e.waitingSince >= wait
}

func (e *Election) newClaim(now time.Duration) *Claim {
	next := e.self
	next.Epoch, next.Renewal = e.latest.Epoch, e.latest.Renewal+1
	if !e.isOwn(e.latest) {
		next.Epoch++
	}
	e.sentAt, e.writePending = now, true
	return &Claim{Object: next, Version: e.version}
}

// Done takes the outcome of a write: the version it made, or won false where it
// conflicted.
func (e *Election) Done(now time.Duration, c *Claim, version uint64, won bool) {
	e.writePending = false
	if !won || version <= e.version && !e.isOwn(e.latest) {
		_ = e.machine.Fire(eventLost)
		e.waitingSince = now
		return
	}
	e.heldSince = e.sentAt
	if version > e.version {
		e.latest, e.version, e.waitingSince = c.Object, version, now
	}
	_ = e.machine.Fire(eventWon)
}

// Unknown says that the outcome of the write under way will not be known.
//
// Failure: the store does not answer one renewal. A holder that gave up then would
// leave its service without planning until the others' patience is over, though
// its hold lasts on. It shows as 5 s without repairs after one lost answer.
// Why it may go on: the hold is dated from the last renewal that is known to have
// succeeded, and the others wait for AssignerLife after they saw that one or a later.
func (e *Election) Unknown(now time.Duration) {
	e.writePending = false
	_ = e.machine.Fire(eventUnknown)
	if e.machine.State() == following {
		e.waitingSince = now
	}
}

// Holds reports whether the agent may plan at the time now.
func (e *Election) Holds(now time.Duration) bool {
	return e.machine.State() == holding && now-e.heldSince < AssignerTTL
}

// Holder returns the VM that was last seen to hold the service, "" for none.
func (e *Election) Holder() string { return e.latest.Holder }
