// Package permit bounds the requests that all VMs together send to a target that states a limit.
//
// Load pattern: a target shares its machine with other work, needs relief, and states in its responses how many
// requests per second it takes from all VMs together. Its callers arrive at all VMs. If each VM kept the limit
// alone, the target would get it once per VM; if each kept its part, a limit of a few requests per second would
// be less than one request per VM, and would be either exceeded or not used.
package permit

import "time"

// Belief is what a VM believes about the limit of one incarnation of a target. In the zero value no limit was
// ever stated. It is not safe for concurrent use.
type Belief struct {
	// Limited reports whether the limit is in force.
	Limited bool
	// PerSecond is the limit that was stated last, in requests per second from all VMs together.
	PerSecond float64
	// FirstAt is when the limit came into force, LastAt when the latest response arrived that stated it or
	// showed its end, on the VM's clock.
	FirstAt, LastAt time.Duration
	// Source is the VM that got that response.
	Source string
}

// Stated records a response that states a limit. It reports whether the belief changed, apart from its age.
func (b *Belief) Stated(perSecond float64, source string, now time.Duration) (changed bool) {
	changed = !b.Limited || b.PerSecond != perSecond
	if !b.Limited {
		b.FirstAt = now
	}
	b.Limited, b.PerSecond, b.LastAt, b.Source = true, perSecond, now, source
	return changed
}

// NotStated records a response without a limit to a request that was sent at the given time. It reports whether
// it shows the end of the limit. A response to a request that was sent before the limit was last stated does not:
// the target may have begun it earlier.
func (b *Belief) NotStated(sentAt time.Duration, source string, now time.Duration) (ended bool) {
	if !b.Limited || sentAt <= b.LastAt {
		return false
	}
	b.Limited, b.LastAt, b.Source = false, now, source
	return true
}
