package gateway

import (
	"fmt"
	"time"

	"hemlockquay/internal/lease"
)

// misdirectedRetention is how long a misdirected request counts as evidence that the leases of its
// service have expired. After that one request is sent as a probe, because a VM that is cut off
// only from the grantor does not see that the leases are renewed.
const misdirectedRetention = 300 * time.Millisecond

// recordMisdirected records that a target of the service does not hold a key that it owns
// according to the leases.
func (s *routingState) recordMisdirected(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misdirectedAt[service] = s.clock.Now()
}

// recentlyMisdirected reports whether a target of the service refused a key within
// misdirectedRetention.
func (s *routingState) recentlyMisdirected(service string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.misdirectedAt[service]
	return ok && now-at < misdirectedRetention
}

// leasesExpired describes why the leases of a service count as expired: the grantor has been
// unreachable for longer than the hold time, and targets refuse their keys. It returns "" if they
// have not expired.
func (g *Gateway) leasesExpired(service string, now time.Duration) string {
	if !g.state.recentlyMisdirected(service, now) {
		return ""
	}
	r := g.state.leases.Get(service)
	if r == nil || g.mesh.IsLive(r.Holder, r.Incarnation) {
		return ""
	}
	renewedAt := g.state.leases.ChangedAt(service)
	if heardAt, known := g.mesh.LastHeard(r.Holder, r.Incarnation); known {
		renewedAt = max(renewedAt, heardAt)
	}
	if now-renewedAt <= lease.HoldTime {
		return ""
	}
	return fmt.Sprintf("grantor %q gone for %dms epoch %d seq %d", r.Holder, (now - renewedAt).Milliseconds(), r.Epoch, r.Seq)
}
