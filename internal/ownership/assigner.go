// Package ownership elects the assigner of a service: the agent that plans which
// target owns which keys. Package grants, below it, puts the plan into effect.
//
// The decisions do no I/O and read no clock. The caller passes in the time and the
// messages received, and package agent carries out the actions returned.
package ownership

import (
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// Election timings. Only moves and repairs of the record need an assigner; grants
// and takeovers continue without one. The timings are therefore long and the write
// rate low: one write every two seconds for each keyed service.
const (
	// AssignerTTL is how long an assigner holds its service after a renewal.
	AssignerTTL = 6 * time.Second
	// AssignerRenewInterval is the time between renewals. Two renewals may be lost.
	AssignerRenewInterval = 2 * time.Second
	// claimStagger delays each follower's claim in proportion to its rank, so that
	// the loss of a holder causes one write and not nine.
	claimStagger = 300 * time.Millisecond
)

var assignerChart = charts.MustLoad("assigner")

// States and events of charts/assigner.jsonc.
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

// Claim is a conditional write of a service's assigner object. It takes effect only
// if the stored object has version Version.
type Claim struct {
	Object  model.Assigner
	Version uint64
}

// Election is one agent's part in the election of one service's assigner. All
// times are readings of CLOCK_BOOTTIME. It is not safe for concurrent use.
//
// Safety does not depend on clocks. An assigner that was replaced without noticing
// plans on a version of the assignment that its successor has overwritten, so its
// write conflicts. AssignerTTL only limits how long two agents plan at once.
//
// Failure: a holder is suspended for minutes and then resumes. CLOCK_BOOTTIME
// advances during the suspension, so the first call of Holds returns false.
type Election struct {
	self    model.Assigner
	machine *statechart.Machine
	// latest is the object of the highest version observed, which is version.
	// waitingSince starts the wait for the next claim: when latest was first
	// observed, or when this agent lost its hold or a claim.
	latest       model.Assigner
	version      uint64
	waitingSince time.Duration
	// sentAt is when the pending write was sent, heldSince when the last successful
	// one was. A hold counts from the send, because the store may have applied the
	// write at any time after it.
	sentAt, heldSince time.Duration
	writePending      bool
}

// NewElection returns the part that one incarnation of the agent on a VM takes in
// the election of a service's assigner.
func NewElection(service, vm, incarnation string, now time.Duration) *Election {
	return &Election{
		self:         model.Assigner{Service: service, Holder: vm, Incarnation: incarnation},
		machine:      assignerChart.Start(),
		waitingSince: now,
	}
}

// Observe records an assigner object that was watched or read. Versions that are
// not newer than the last one are ignored.
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

// Step returns the write that is due, or nil. rank is the agent's position among
// the live agents for this service, starting at 0. The caller must report the
// outcome of each write with Done or Unknown.
func (e *Election) Step(now time.Duration, rank int) *Claim {
	if e.machine.State() == holding && !e.Holds(now) {
		_ = e.machine.Fire(eventLapse)
		// The former holder waits like the followers: one of them may already have
		// written a claim.
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

// holderExpired reports whether the holder has not renewed for AssignerTTL, plus the
// stagger of this agent's rank. A service without an object needs only the stagger.
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

// Done reports the outcome of a write: won with the version it created, or a
// conflict if won is false.
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

// OutcomeUnknown reports that the outcome of the pending write cannot be learnt.
//
// Failure: the store does not answer one renewal. If the holder gave up its hold,
// nobody would plan the service until the hold expired for the followers, which
// was seen as 5 s without repairs after one lost answer. Keeping the hold is safe:
// it counts from the last renewal known to have succeeded, and the followers wait
// for AssignerTTL after they observed that renewal or a later one.
func (e *Election) OutcomeUnknown(now time.Duration) {
	e.writePending = false
	_ = e.machine.Fire(eventUnknown)
	if e.machine.State() == following {
		e.waitingSince = now
	}
}

// Holds reports whether the agent may plan the service at time now.
func (e *Election) Holds(now time.Duration) bool {
	return e.machine.State() == holding && now-e.heldSince < AssignerTTL
}

// Holder returns the VM that was last observed to hold the service, "" for none.
func (e *Election) Holder() string { return e.latest.Holder }
