// Package loadmeter measures the request rate of each group of slices.
//
// Load pattern: a key becomes hot within seconds and cools down within minutes. Counts
// since the start would hide the change behind the history; counts of the last second are
// noisy, and placement would react to the noise. Each rate decays exponentially, so it
// follows a key that becomes hot or cools down within its time constant.
//
// Rationale: with a time constant of 10 s, the rate of a group with 30 requests a second is
// known to about 4% (one over the square root of twice 300), well within the tolerance of
// placement, and a key that stays hot for a minute is visible for most of it.
package loadmeter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TimeConstant is the time constant of the exponential decay.
const TimeConstant = 10 * time.Second

// minRate is the rate per second below which a group is deleted, so that a meter holds
// only groups in use.
const minRate = 1e-3

// Group identifies a group of slices of a service.
type Group struct {
	Service string
	Group   uint64
}

// Rate is the request rate of a group, per second.
type Rate struct {
	Group
	Rate float64
}

// Meter holds the request rates of groups. It is not safe for concurrent use.
type Meter struct{ groups map[Group]*decayingSum }

// decayingSum is an exponentially decaying sum as of the time updated.
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

// Add counts n requests to a group at the time now.
func (m *Meter) Add(g Group, n float64, now time.Duration) {
	d := m.groups[g]
	if d == nil {
		d = &decayingSum{updated: now}
		m.groups[g] = d
	}
	d.decayTo(now)
	d.sum += n
}

// Hottest returns at most n groups in descending order of rate, and deletes groups with a
// rate below minRate.
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
