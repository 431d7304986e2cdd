package gateway

import (
	"fmt"
	"time"

	"hemlockquay/internal/lease"
)

// expiredProbe is for how long a target's refusal counts as a sign that the leases of its
// service have expired. One request is sent after it: a VM that is cut off from the grantor
// alone sees none of its renewals.
const expiredProbe = 300 * time.Millisecond

// noteMisdirected notes that a target of a service does not hold a key that the leases say it has.
func (s *routingState) noteMisdirected(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misdirectedAt[service] = s.clock.Now()
}

// misdirectedLately reports whether a target of a service has lately refused a key.
func (s *routingState) misdirectedLately(service string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.misdirectedAt[service]
	return ok && now-at < expiredProbe
}

// expired describes why the leases of a service have expired; empty while they have not: the
// grantor has been gone for longer than a grant lasts, and targets refuse their keys.
func (g *Gateway) expired(service string, now time.Duration) string {
	if !g.state.misdirectedLately(service, now) {
		return ""
	}
	r := g.state.leases.Of(service)
	if r == nil || g.mesh.IsLive(r.Holder, r.Incarnation) {
		return ""
	}
	renewed := g.state.leases.RoutedAt(service)
	if heard, known := g.mesh.LastHeard(r.Holder, r.Incarnation); known {
		renewed = max(renewed, heard)
	}
	if now-renewed <= lease.HoldTime {
		return ""
	}
	return fmt.Sprintf("grantor %q gone for %dms epoch %d seq %d", r.Holder, (now - renewed).Milliseconds(), r.Epoch, r.Seq)
}
