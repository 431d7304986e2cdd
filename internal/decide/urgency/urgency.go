// Package urgency decides which requests may use the last free places of a target.
//
// Load pattern: the targets of a service are overloaded, and its routes differ in
// priority. If requests are refused in order of arrival, a booking is refused as often as a
// search, although it is worth more to its caller. If some places are reserved for the
// most urgent requests, nearly all of these are served, and the others get nearly as many
// answers as before.
//
// The most urgent priority is determined from the requests seen, not from the
// configuration: a route that nobody calls must not take places from all others.
//
// Rationale: a priority counts if it makes up at least a twentieth of the requests, over a
// time constant of ten seconds. That is hundreds of requests on each VM, so random
// variation has little effect.
package urgency

import (
	"math"
	"time"
)

const (
	// minShare is the fraction of the requests from which a priority counts.
	minShare = 0.05
	// timeConstant is the time constant of the decay of the counts.
	timeConstant = 10 * time.Second
)

// Meter keeps decaying counts of the requests to one service by priority. The zero value
// is an empty meter. It is not safe for concurrent use.
type Meter struct {
	counts  map[int]float64
	updated time.Duration
}

// Record counts a request of a priority; 0 is the most urgent.
func (m *Meter) Record(priority int, now time.Duration) {
	if m.counts == nil {
		m.counts = make(map[int]float64)
	}
	decay := math.Exp(-float64(now-m.updated) / float64(timeConstant))
	m.updated = now
	for p := range m.counts {
		m.counts[p] *= decay
	}
	m.counts[priority]++
}

// Outranked reports whether a priority that counts is more urgent than the given one.
func (m *Meter) Outranked(priority int) bool {
	total := 0.0
	for _, n := range m.counts {
		total += n
	}
	for p, n := range m.counts {
		if p < priority && n >= minShare*total {
			return true
		}
	}
	return false
}

// MostUrgent reports whether no other priority that counts is more urgent than the given
// one, and at least one that counts is less urgent.
func (m *Meter) MostUrgent(priority int) bool {
	total := 0.0
	for _, n := range m.counts {
		total += n
	}
	lessUrgent := false
	for p, n := range m.counts {
		if n < minShare*total {
			continue
		}
		if p < priority {
			return false
		}
		lessUrgent = lessUrgent || p > priority
	}
	return lessUrgent
}
