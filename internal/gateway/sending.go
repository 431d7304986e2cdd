package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// attempt is one sending of a request to a target, from its choice to its end.
type attempt struct {
	target   *targetState
	id       string
	pool     *upstream.Pool
	service  string
	route    string
	sent     time.Time
	usual    time.Duration
	rounds   float64
	expected time.Duration
	load     int
	// cold reports whether the key is cold at its owner.
	cold bool
	// leases is the version of the leases that named the owner.
	leases mesh.LeaseVersion
	// sharers is how many VMs sent requests to the target then.
	sharers int
}

// refusal is why no target was chosen.
type refusal string

// inputs describes what a refusal was decided on, for the log.
func (t *targetState) inputs() string {
	return fmt.Sprintf("%s own %d others %d likely %.1f slots %d slowness %.2f",
		t.ID, t.pick.Own, t.pick.Others, t.pick.Unreported, t.pick.Slots, t.pick.Slowness())
}

// The refusals of a choice.
const (
	refusedNone   refusal = ""
	refusedEmpty  refusal = "no target"
	refusedFull   refusal = "all full"
	refusedMoving refusal = "key on the move"
	refusedLost   refusal = "owner of the key is lost"
	// refusedExpired: nobody renews the leases of the service.
	refusedExpired refusal = "leases have expired"
	refusedLate    refusal = "cannot be done in time"
	refusedCold    refusal = "owner is full and the key cold"
	// refusedHot: the owner can do only a part of what comes for the key.
	refusedHot refusal = "key is hotter than its owner"
	// refusedLeaving: this VM was asked to stop, another one serves the request.
	refusedLeaving refusal = "may outlast this VM"
)

// chooseFromPool reserves the best target of a service without keys.
func (s *routingState) chooseFromPool(service string, rt *route.Route, tried map[string]bool, left, now time.Duration) (*attempt, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	if p == nil {
		return nil, refusedEmpty
	}
	s.turn++
	job := pick.Job{Usual: s.usualLocked(service, rt.Name), Objective: rt.Objective, StartIndex: s.turn, MayUseReserve: s.urgentLocked(service, rt.Priority)}
	for _, c := range []candidates{p.subset, p.all} {
		i := pick.Choose(c.states, job, func(i int) bool { return tried[c.targets[i].ID] || c.targets[i].displaced }, now)
		if i >= 0 {
			return s.reserveLocked(c.targets[i], s.sharersLocked(c.targets[i]), service, rt.Name, left)
		}
	}
	return nil, refusedFull
}

// chooseOwner reserves the target that owns the key, by leases after the version by which
// the request was misdirected. Where it refuses, it describes what it decided on.
func (s *routingState) chooseOwner(service string, rt *route.Route, key uint16, misdirected mesh.LeaseVersion, left time.Duration) (*attempt, refusal, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.leases.Of(service)
	if r == nil {
		return nil, refusedMoving, "no leases known"
	}
	owner, how := r.Find(key)
	t := s.targets[owner]
	now := s.clock.Now()
	switch {
	case how == lease.Moving:
		return nil, refusedMoving, owner + " gets the key"
	case how == lease.Unserved:
		return nil, refusedLost, owner + " waits for a target that does not answer"
	case t == nil:
		return nil, refusedLost, owner + " is not listed"
	case t.displaced, t.Draining && now > t.leavesAt, t.pick.BackingOff(now):
		return nil, refusedLost, fmt.Sprintf("%s displaced %t leaves %t resting %t", owner, t.displaced, t.Draining, t.pick.BackingOff(now))
	case !r.After(misdirected.Epoch, misdirected.Seq):
		return nil, refusedMoving, fmt.Sprintf("%s did not hold the key, epoch %d seq %d", owner, r.Epoch, r.Seq)
	case t.pick.FullFor(s.urgentLocked(service, rt.Priority)):
		return nil, refusedFull, t.inputs()
	case rand.Float64() >= r.LimitOf(key).Fraction():
		return nil, refusedHot, fmt.Sprintf("%s part %.3f epoch %d seq %d", owner, r.LimitOf(key).Fraction(), r.Epoch, r.Seq)
	}
	cold := how == lease.Cold
	if cold && !t.pick.AcceptsCold() {
		return nil, refusedCold, t.inputs()
	}
	e, why := s.reserveLocked(t, s.fleet.all.VMs, service, rt.Name, left)
	if e == nil {
		return nil, why, t.inputs()
	}
	e.cold, e.leases = cold, mesh.LeaseVersion{Service: service, Epoch: r.Epoch, Seq: r.Seq}
	return e, why, ""
}

// sharersLocked returns how many VMs send requests to a target of a pool. It needs s.mu.
func (s *routingState) sharersLocked(t *targetState) int {
	if t.sharers == 0 {
		return s.fleet.all.VMs
	}
	return t.sharers
}

// reserveLocked reserves a target to which so many VMs send requests. It needs s.mu.
func (s *routingState) reserveLocked(t *targetState, sharers int, service, route string, left time.Duration) (*attempt, refusal) {
	usual := s.usualLocked(service, route)
	e := &attempt{
		target: t, id: t.ID, pool: t.pool, service: service, route: route, sent: time.Now(),
		usual: usual, rounds: t.pick.Rounds(), expected: t.pick.Expected(usual), load: t.pick.Load(), sharers: sharers,
	}
	// Half of the expected time is about the fastest that it turns out to be.
	if usual > 0 && t.pick.Load() > t.pick.Slots && e.expected/2 > left {
		return nil, refusedLate
	}
	t.pick.Sent(sharers)
	s.inUse[t] = struct{}{}
	return e, refusedNone
}

// end is how a sending ended.
type end int

// The ends.
const (
	// endAnswered: a whole answer of the target's work.
	endAnswered end = iota
	// endFailed: the target answered, without success or without running it.
	endFailed
	// endUnsent: no connection.
	endUnsent
	// endLost: no answer on a connection.
	endLost
	// endLeft: the caller left or the time was over.
	endLeft
)

// finish gives a target back.
func (s *routingState) finish(e *attempt, how end) {
	took := time.Since(e.sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &e.target.pick
	t.Ended(e.sharers)
	switch how {
	case endAnswered:
		if e.cold {
			s.recordColdResponseLocked(e, took)
			return
		}
		t.Answered(took, e.usual, e.rounds)
		s.learnLocked(e.service, e.route, time.Duration(float64(took)/(e.rounds*t.Slowness())))
	case endFailed:
		t.Failed()
	case endUnsent:
		t.ConnectFailed(s.clock.Now())
	case endLost:
		t.AnswerLost(s.clock.Now())
	case endLeft:
		// An answer that did not come in time is a sign, too.
		if !e.cold && took > 2*e.expected && e.usual > 0 {
			t.Answered(took, e.usual, e.rounds)
		}
	}
}

// displaced notes that another target answers at the address of this one.
// Otherwise each request for its keys would be refused there, and count as a repeat at a service that it
// was never meant for.
func (s *routingState) displaced(e *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.target.displaced {
		return
	}
	e.target.displaced = true
	s.log.Warn().Str("step", "targets").Str("target", e.id).Str("addr", e.target.Addr).Int64("born", e.target.Born).
		Msg("another target has the address")
}

// countKey counts a request for a key.
func (s *routingState) countKey(service string, key uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.keyLoad[service]
	if l == nil {
		l = make(map[uint16]uint16)
		s.keyLoad[service] = l
	}
	if _, seen := l[key]; seen || len(l) < maxKeysCounted {
		l[key]++
	}
}
