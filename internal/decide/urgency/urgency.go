// Package urgency decides which requests may have the last places of a full target.
//
// Load pattern: a service's targets have more than they can do, and its routes differ in
// priority. Refused as they come, a booking is turned away as often as a search, though
// it is worth more to its caller. With some more places for the most urgent, these are
// nearly all served, and the others have nearly as many answers as before.
//
// The most urgent priority is one that is seen, not one that is configured: a route that
// nobody calls must not take places from all others.
//
// Grounds: a priority counts with a twentieth of the requests, over a time constant of
// ten seconds: hundreds of requests a VM, so that chance moves it little.
package urgency

import (
	"math"
	"time"
)

const (
	// minShare is the part of the requests from which a priority counts.
	minShare = 0.05
	// timeConstant is the time constant with which requests are forgotten.
	timeConstant = 10 * time.Second
)

// Meter counts the requests for one service by their priority. The zero value has seen
// none. It is not safe for concurrent use.
type Meter struct {
	counts  map[int]float64
	updated time.Duration
}

// Record records a request of a priority, 0 the most urgent.
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

// MostUrgent reports whether requests of this priority are the most urgent of several: others
// come after them, and none before, to speak of.
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
