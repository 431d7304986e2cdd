package gateway

import (
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// endedLocked reports whether a target must get nothing more from this VM, not even requests for keys that it owns. It
// needs s.mu.
func (s *routingState) endedLocked(t *targetState, now time.Duration) bool {
	return t.displaced || t.Draining && now > t.drainsUntil || t.leavingAnnouncedAt > 0 && now > t.leavingAnnouncedAt+drainingOwnerGrace || s.evacuationDueLocked(t, now)
}

// unavailableLocked returns why a target must get no request from this VM now, or notRefused. It needs s.mu.
func (s *routingState) unavailableLocked(t *targetState, now time.Duration) refusal {
	switch {
	case s.endedLocked(t, now):
		return refusedLost
	case !t.pushback.Allows(now):
		return refusedResting
	case s.warmupExceededLocked(t, now):
		return refusedWarming
	}
	return notRefused
}

// admit decides about a request right before its first byte is written, and counts it. Since its target was reserved, the
// request may have waited for a move, an inquiry, a permit or a dial, and the target may have said that it wants none.
//
// Orders do not pass through it: an owner that refuses requests, or leaves, needs renewals until its keys have
// another owner.
func (s *routingState) admit(t *targetState, kind sentKind) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if kind == sentInquiries {
		if s.endedLocked(t, now) || t.pushback.Left(now) > 0 {
			s.countRefused()
			return refusedResting
		}
		s.countSentLocked(t, kind, now)
		return notRefused
	}
	if reason := s.unavailableLocked(t, now); reason != notRefused {
		s.countRefused()
		return reason
	}
	if limit, limited := s.warmupLimitLocked(t.Service); limited && now < t.warming.until {
		t.warming.sent.Sent(limit, now)
	}
	t.pushback.Sent(now)
	s.countSentLocked(t, kind, now)
	return notRefused
}

// countRefused counts a request that was not sent because its target wants none since it was reserved.
func (s *routingState) countRefused() {
	metrics.GetOrRegisterCounter("signals.refused", s.registry).Inc(1)
}

// moveRetryAfter is the Retry-After for a key whose owner refuses requests. Its grantor gives it another owner
// within about this time.
const moveRetryAfter = 400 * time.Millisecond

// restRetryAfter returns the time after which to retry a request whose target refuses requests: when it takes requests
// again, or when its key should have another owner. Callers are spread over half of that.
func (g *Gateway) restRetryAfter(c *call) time.Duration {
	left := maxRetryAfter
	if c.keyed {
		left = moveRetryAfter
	}
	g.state.mu.Lock()
	now := g.state.clock.Now()
	if c.keyed {
		if t := g.state.targets[g.ownerOf(c)]; t != nil {
			left = min(left, t.pushback.Left(now))
		}
	} else if p := g.state.pools[c.service]; p != nil {
		for _, t := range p.all.targets {
			if !c.tried[t.ID] {
				left = min(left, t.pushback.Left(now))
			}
		}
	}
	g.state.mu.Unlock()
	left = max(left, minRetryAfter)
	return left + rand.N(left/2)
}

// refusalOfUnreached returns why a request is not sent to an owner that this VM does not reach: other VMs may reach it,
// unless it refuses the requests that they send for this one.
func (s *routingState) refusalOfUnreached(owner string) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[owner]; t != nil && !t.pushback.Allows(s.clock.Now()) {
		return refusedResting
	}
	return refusedUnreached
}

// restingTargets returns the targets of a service that have refused requests of this VM and get none from it now. Another
// VM that sends a request for this one must not send it to them.
func (s *routingState) restingTargets(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	now := s.clock.Now()
	if p := s.pools[service]; p != nil {
		for _, t := range p.all.targets {
			if t.pushback.Left(now) > 0 {
				out = append(out, t.ID)
			}
		}
	}
	return out
}
