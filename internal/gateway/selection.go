package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/decide/reach"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// attempt is one try to send a request to a target, from the reservation of the target to its
// release.
type attempt struct {
	target  *targetState
	id      string
	pool    *upstream.Pool
	service string
	route   string
	sent    time.Time
	usual   time.Duration
	// mean is the mean service time of all requests to the service.
	mean time.Duration
	// slowness is the target's pick.State.Slowness at the time of the reservation.
	slowness float64
	rounds   float64
	expected time.Duration
	load     int
	// cold reports whether the key is cold at its owner.
	cold bool
	// leases is the version of the leases that named the owner.
	leases mesh.LeaseVersion
	// vmsUsing is the number of VMs that sent requests to the target at the time of the
	// reservation.
	vmsUsing int
	// conn says which connections the attempt may use.
	conn upstream.ConnPolicy
	// peer is the VM that sends the request, or empty if this one does. Then target is nil.
	peer string
	// withheld says why the request was not sent although a connection was open, if it was not.
	withheld refusal
	// ended says why the request itself has ended, if that is why it was withheld.
	ended error
	// refused says why no attempt was made, if none was.
	refused refusal
	// reportedSlowness is the slowness that the target reported last, or 0 if it reports none.
	reportedSlowness float64
	// hadFreeSlots reports whether the target had free slots at the time of the reservation.
	hadFreeSlots bool
}

// refusal is the reason why no target was reserved.
type refusal string

// describeLoad returns the load of the target for the log line of a refusal.
func (t *targetState) describeLoad() string {
	return fmt.Sprintf("%s own %d others %d likely %.1f slots %d slowness %.2f",
		t.ID, t.pick.Own, t.pick.Others, t.pick.Unreported, t.pick.Slots, t.pick.Slowness())
}

// The reasons for a refusal.
const (
	notRefused      refusal = ""
	refusedNoTarget refusal = "no target"
	refusedFull     refusal = "all full"
	refusedMoving   refusal = "key on the move"
	refusedLost     refusal = "owner of the key is lost"
	// refusedExpired: the leases of the service have not been renewed.
	refusedExpired refusal = "leases have expired"
	refusedLate    refusal = "cannot be done in time"
	refusedCold    refusal = "owner is full and the key cold"
	// refusedHot: the owner can run only a fraction of the requests for the key.
	refusedHot refusal = "key is hotter than its owner"
	// refusedWarming: the target is cold, and this VM must not send it more requests now.
	refusedWarming refusal = "target is warming up"
	// refusedUnreached: this VM does not reach the target. Another one may.
	refusedUnreached refusal = "target not reached"
	// refusedRegion: the owner is in a region in which the request must not be processed.
	refusedRegion refusal = "owner in another region"
	// refusedLimited: the target states a limit, and there is no permit for the request.
	refusedLimited refusal = "target takes no more requests now"
	// refusedResting: the target refuses requests, or has asked this VM for a time without any.
	refusedResting refusal = "target refuses requests"
	// refusedNoPlace: requests that have or wait for a place at the owner leave no time for this one.
	refusedNoPlace refusal = "no place at the owner"
	// refusedLeaving: this VM is shutting down. Another one can serve the request.
	refusedLeaving refusal = "may outlast this VM"
)

// reserveFromPool reserves the best target of a service without keys.
func (s *routingState) reserveFromPool(service string, rt *route.Route, tried map[string]bool, timeLeft, now time.Duration) (*attempt, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	if p == nil {
		return nil, refusedNoTarget
	}
	s.startIndex++
	outranked := s.outrankedLocked(service, rt.Priority)
	job := pick.Job{Usual: s.usualDurationLocked(service, rt.Name), Objective: rt.Objective, StartIndex: s.startIndex, MayUseReserve: s.mayUseReserveLocked(service, rt.Priority)}
	resting := false
	// Targets that refuse the requests of other VMs are a last resort.
	for _, mayRefuse := range []bool{false, true} {
		for _, c := range []candidates{p.subset, p.all} {
			i := pick.Choose(c.states, job, func(i int) bool {
				t := c.targets[i]
				if tried[t.ID] || !s.mayProcessLocked(rt, t) || s.usableLocked(t) == reach.NoConn || t.limit.isBlocked(outranked, now) {
					return true
				}
				refused := s.unavailableLocked(t, now)
				resting = resting || refused == refusedResting
				return refused != notRefused || !mayRefuse && t.pushback.VMs(now) > 0
			}, now)
			if i >= 0 {
				return s.reserveLocked(c.targets[i], s.vmsUsingLocked(c.targets[i]), service, rt.Name, nil, timeLeft)
			}
		}
	}
	switch {
	case s.mostLostLocked(p, tried):
		return nil, refusedUnreached
	case resting:
		return nil, refusedResting
	}
	return nil, refusedFull
}

// mostLostLocked reports whether the paths to more targets of the pool are lost than are left to try. Then
// other VMs are likely to have room. It needs s.mu.
func (s *routingState) mostLostLocked(p *servicePool, tried map[string]bool) bool {
	lost, left := 0, 0
	for _, t := range p.all.targets {
		switch {
		case t.displaced:
		case s.pathLostLocked(t):
			lost++
		case !tried[t.ID]:
			left++
		}
	}
	return lost > left
}

// ownerRequest is a request for a key.
type ownerRequest struct {
	service     string
	route       *route.Route
	key         uint16
	misdirected mesh.LeaseVersion
	// place is the place at the owner that the request has, or nil.
	place *heldPlace
	// forwarded requests have passed the limit on hot keys at the VM that received them.
	forwarded bool
}

// reserveOwnerOf reserves the target that owns the key. The leases must be later than misdirected, the version by which the
// request was misdirected before. On a refusal, it also returns the inputs of the decision.
func (s *routingState) reserveOwnerOf(req ownerRequest, timeLeft time.Duration) (*attempt, refusal, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, rt, key := req.service, req.route, req.key
	r := s.leases.Get(service)
	if r == nil {
		return nil, refusedMoving, "no leases known"
	}
	owner, state := r.Find(key)
	t := s.targets[owner]
	now := s.clock.Now()
	// A target that reports its load is asked before the request is sent, and a place allows for the requests of all VMs,
	// so this VM's own counts do not matter.
	asked := t != nil && t.tellsLoad || req.place != nil
	switch {
	case state == lease.Moving:
		return nil, refusedMoving, owner + " gets the key"
	case state == lease.Unserved:
		return nil, refusedLost, owner + " waits for a target that does not answer"
	case t == nil:
		return nil, refusedLost, owner + " is not listed"
	case !s.mayProcessLocked(rt, t):
		return nil, refusedRegion, owner + " in " + t.DataCentre
	case s.endedLocked(t, now):
		return nil, refusedLost, fmt.Sprintf("%s displaced %t drains %t leaves %t evacuated %t", owner, t.displaced, t.Draining, t.Leaving, s.evacuations.Contains(t.DataCentre))
	case !t.pushback.Allows(now):
		return nil, refusedResting, fmt.Sprintf("%s for %dms", owner, t.pushback.Left(now).Milliseconds())
	case !r.After(req.misdirected.Epoch, req.misdirected.Seq):
		return nil, refusedMoving, fmt.Sprintf("%s did not hold the key, epoch %d seq %d", owner, r.Epoch, r.Seq)
	case s.warmupExceededLocked(t, now):
		return nil, refusedWarming, fmt.Sprintf("%s for %dms", owner, (t.warming.until - now).Milliseconds())
	case !asked && t.pick.FullFor(s.mayUseReserveLocked(service, rt.Priority)):
		return nil, refusedFull, t.describeLoad()
	case !req.forwarded && req.place == nil && rand.Float64() >= r.LimitOf(key).Fraction():
		return nil, refusedHot, fmt.Sprintf("%s part %.3f epoch %d seq %d", owner, r.LimitOf(key).Fraction(), r.Epoch, r.Seq)
	case s.usableLocked(t) == reach.NoConn:
		return nil, refusedUnreached, owner + " " + s.describePathLocked(t, now)
	case s.usableLocked(t) == reach.AnyConn && t.pick.BackingOff(now):
		return nil, refusedLost, fmt.Sprintf("%s resting", owner)
	}
	cold := state == lease.Cold
	if cold && !t.tellsLoad && !acceptsCold(t, req.place) {
		return nil, refusedCold, t.describeLoad()
	}
	a, reason := s.reserveLocked(t, s.fleet.all.VMs, service, rt.Name, req.place, timeLeft)
	if a == nil {
		return nil, reason, t.describeLoad()
	}
	a.cold, a.leases = cold, mesh.LeaseVersion{Service: service, Epoch: r.Epoch, Seq: r.Seq}
	return a, reason, ""
}

// acceptsCold reports whether a target may get a request for a cold key, which must not wait there with others.
func acceptsCold(t *targetState, place *heldPlace) bool {
	if place != nil {
		return place.load < max(t.pick.Slots, 1)
	}
	return t.pick.AcceptsCold()
}

// vmsUsingLocked returns the number of VMs that send requests to a target of a pool. It needs
// s.mu.
func (s *routingState) vmsUsingLocked(t *targetState) int {
	if t.vmsUsing == 0 {
		return s.fleet.all.VMs
	}
	return t.vmsUsing
}

// reserveLocked reserves a target that is used by vmsUsing VMs, and at which the request has a place or nil. It needs s.mu.
func (s *routingState) reserveLocked(t *targetState, vmsUsing int, service, route string, place *heldPlace, timeLeft time.Duration) (*attempt, refusal) {
	usual, load := s.usualDurationLocked(service, route), t.pick.Load()
	if place != nil {
		load = place.load
	}
	a := &attempt{
		target: t, id: t.ID, pool: t.pool, service: service, route: route, sent: time.Now(),
		usual: usual, slowness: t.pick.Slowness(), rounds: pick.RoundsAt(load, t.pick.Slots), load: load, vmsUsing: vmsUsing,
		hadFreeSlots: load < t.pick.Slots,
	}
	a.expected = time.Duration(float64(usual) * a.slowness * a.rounds)
	if s.usableLocked(t) == reach.KeptConn {
		a.conn = upstream.KeptConn
	}
	a.mean = s.meanDurationLocked(service)
	if t.tellsLoad || place != nil {
		// Its reports, or the holder of its line, include the requests of other VMs.
		a.vmsUsing = 1
	}
	// The actual time is rarely less than half of the expected time.
	if usual > 0 && !t.tellsLoad && load > t.pick.Slots && a.expected/2 > timeLeft {
		return nil, refusedLate
	}
	if t.pick.Own == 0 {
		t.waitingSince = s.clock.Now()
	}
	t.expected = a.expected
	t.pick.Sent(a.vmsUsing)
	s.inUse[t] = struct{}{}
	return a, notRefused
}

// attemptResult says how an attempt ended.
type attemptResult int

// The results of an attempt.
const (
	// resultSucceeded: the target responded without a server error.
	resultSucceeded attemptResult = iota
	// resultFailed: the target responded with a server error, without running the request, or with a status that must be withheld.
	resultFailed
	// resultNotSent: no connection could be opened.
	resultNotSent
	// resultResponseLost: the connection failed before the response was complete.
	resultResponseLost
	// resultReleased: the attempt was not sent, because the target was not chosen in the end.
	resultReleased
	// resultAbandoned: the attempt was not sent, or ended without information about the target,
	// for example because the caller disconnected or the deadline passed.
	resultAbandoned
)

// finish releases the target of an attempt and updates its statistics. If another VM sent the request, it
// does so there.
func (s *routingState) finish(a *attempt, result attemptResult) {
	if a.target == nil {
		return
	}
	took := time.Since(a.sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &a.target.pick
	t.Ended(a.vmsUsing)
	switch result {
	case resultSucceeded:
		if a.cold {
			s.recordColdResponseLocked(a, took)
			return
		}
		reported := a.reportedSlowness
		if reported == 0 {
			reported = 1
		}
		t.AnsweredWhile(reported, took, a.usual, a.rounds)
		s.recordDurationLocked(a.service, a.route, time.Duration(float64(took)/(a.rounds*t.Slowness()*reported)))
	case resultFailed:
		t.Failed()
	case resultNotSent:
		t.ConnectFailed(s.clock.Now())
	case resultResponseLost:
		t.AnswerLost(s.clock.Now())
	case resultAbandoned:
		// An attempt that took much longer than expected shows that the target is slow, even
		// without a response.
		if !a.cold && took > 2*a.expected && a.usual > 0 {
			t.Answered(took, a.usual, a.rounds)
		}
	}
}

// markDisplaced records that another target responds at the address of this one. Otherwise every
// request for its keys would be sent there and refused, and would count as a repeat at a service
// that it was never meant for.
func (s *routingState) markDisplaced(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.target == nil || a.target.displaced {
		return
	}
	a.target.displaced = true
	s.log.Warn().Str("step", "targets").Str("target", a.id).Str("addr", a.target.Addr).Int64("born", a.target.Born).
		Msg("another target has the address")
}

// countKey counts a request for a key.
func (s *routingState) countKey(service string, key uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.keyLoad[service]
	if counts == nil {
		counts = make(map[uint16]uint16)
		s.keyLoad[service] = counts
	}
	if _, counted := counts[key]; counted || len(counts) < maxKeysCounted {
		counts[key]++
	}
}
