// Package loadmeter keeps the rate of requests of each group of slices.
//
// Load pattern: a key turns hot within seconds and cools within minutes. Counts
// since the start would hide it behind the history; counts of the last second are
// noise, and placement would chase it. Each meter decays exponentially, so it
// follows a hot key within its time constant and forgets it as fast.
//
// Grounds: with a time constant of 10 s a group of 30 requests a second is known
// to about 4% (one over the root of twice 300), well inside the band of
// placement, and a key that stays hot for a minute is seen for most of it.
package loadmeter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TimeConstant is the time constant of the decay.
const TimeConstant = 10 * time.Second

// minRate is the rate, per second, below which a group is dropped, so that a
// meter holds only what is in use.
const minRate = 1e-3

// Group names a group of slices of a service.
type Group struct {
	Service string
	Group   uint64
}

// Rate is a group's requests per second.
type Rate struct {
	Group
	Rate float64
}

// Meter keeps the rates of groups. It is not safe for concurrent use.
type Meter struct{ groups map[Group]*decayingSum }

// decayingSum is a sum that decays from the time at.
type decayingSum struct {
	sum     float64
	updated time.Duration
}

func (d *decayingSum) decayTo(now time.Duration) {
	if now > d.updated {
		d.sum *= math.Exp(-float64(now-d.updated) / float64(TimeConstant))
		d.updated = now
	}
}

// New returns an empty meter.
func New() *Meter { return &Meter{groups: make(map[Group]*decayingSum)} }

// Add counts n requests of a group at the time now.
func (m *Meter) Add(g Group, n float64, now time.Duration) {
	d := m.groups[g]
	if d == nil {
		d = &decayingSum{updated: now}
		m.groups[g] = d
	}
	d.decayTo(now)
	d.sum += n
}

// Hottest returns at most n groups, the hottest first, and drops those that have
// cooled down.
func (m *Meter) Hottest(n int, now time.Duration) []Rate {
	rates := make([]Rate, 0, len(m.groups))
	for g, d := range m.groups {
		d.decayTo(now)
		rate := d.sum / TimeConstant.Seconds()
		if rate < minRate {
			delete(m.groups, g)
			continue
		}
		rates = append(rates, Rate{Group: g, Rate: rate})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group.Group, b.Group.Group))
	})
	return rates[:min(n, len(rates))]
}
