package keyspread

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Rates are the requests per second for each key, as exponentially decaying averages.
// They are not safe for concurrent use.
type Rates struct {
	// Surges makes Sums return the rate of the last two intervals between calls of Advance where it is significantly
	// higher than the average. Without it, a range that becomes hot shows a third of its rate after 0.5 s.
	Surges bool

	keys      map[uint16]keyRate
	updatedAt time.Duration
	// before holds the times of the two calls of Advance before the last one.
	before [2]time.Duration
}

// keyRate is the load of a key.
type keyRate struct {
	// average is the decaying average of the requests per second.
	average float64
	// current and previous are the requests since the last call of Advance, and in the interval before it.
	current, previous int
}

const (
	// decayTime is the time in which a rate decays to 1/e. A change shows within a
	// second, and at a hundred requests per second for a group of hot keys the rate is
	// accurate to about a tenth.
	decayTime = 1200 * time.Millisecond
	// minRate is the rate below which a key is removed.
	minRate = 0.02
	// A surge has surgeFactor times the requests that the average explains, and exceeds them by surgeDeviations
	// standard deviations of Poisson arrivals and by minSurge requests: a range that is not hot must not move because
	// of chance.
	surgeFactor     = 1.5
	surgeDeviations = 3
	minSurge        = 8
	// cellSize is the number of adjacent keys that are looked at together. Keys that become hot together are often
	// adjacent.
	cellSize = 256
)

func (k keyRate) recent() int { return k.current + k.previous }

// NewRates returns rates without any keys.
func NewRates() *Rates { return &Rates{keys: make(map[uint16]keyRate)} }

// Add records requests for a key.
func (r *Rates) Add(key uint16, requests int) {
	k := r.keys[key]
	k.average += float64(requests) / decayTime.Seconds()
	k.current += requests
	r.keys[key] = k
}

// Advance decays the rates for the time since the last call.
func (r *Rates) Advance(now time.Duration) {
	if r.updatedAt == 0 {
		r.updatedAt = now
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(decayTime))
	r.before, r.updatedAt = [2]time.Duration{r.updatedAt, r.before[0]}, now
	for key, k := range r.keys {
		k.average *= decay
		k.previous, k.current = k.current, 0
		if k.average < minRate {
			delete(r.keys, key)
			continue
		}
		r.keys[key] = k
	}
}

// window returns the time in which the recent requests of all keys have arrived: those that are added after a call of
// Advance have arrived before it.
func (r *Rates) window() time.Duration { return r.updatedAt - r.before[1] }

// surging returns the cells of keys whose requests have surged. Single keys and small ranges have too few requests to
// tell a surge from chance.
func (r *Rates) surging() map[uint16]bool {
	window := r.window().Seconds()
	if !r.Surges || window <= 0 {
		return nil
	}
	type load struct {
		average float64
		recent  int
	}
	cells := make(map[uint16]load)
	for key, k := range r.keys {
		c := cells[key/cellSize]
		c.average += k.average
		c.recent += k.recent()
		cells[key/cellSize] = c
	}
	out := make(map[uint16]bool)
	for cell, c := range cells {
		expected, n := c.average*window, float64(c.recent)
		if n >= surgeFactor*expected && n >= expected+surgeDeviations*math.Sqrt(expected)+minSurge {
			out[cell] = true
		}
	}
	return out
}

// currentRates returns the rate of each key.
func (r *Rates) currentRates() map[uint16]float64 {
	surging, window := r.surging(), r.window().Seconds()
	out := make(map[uint16]float64, len(r.keys))
	for key, k := range r.keys {
		out[key] = k.average
		if surging[key/cellSize] {
			out[key] = max(k.average, float64(k.recent())/window)
		}
	}
	return out
}

// Sum is the load of a range of keys.
type Sum struct {
	Rate float64
	Keys int
	// SplitAfter is the last key of the first part if the range is divided to halve its load.
	SplitAfter uint16
}

// Sums returns the load of consecutive ranges that begin at these sorted keys; the last
// one extends to the end of the key space.
func (r *Rates) Sums(from []uint16) []Sum {
	out := make([]Sum, len(from))
	if len(from) == 0 {
		return out
	}
	at, rates := 0, r.currentRates()
	var run []uint16
	flush := func() {
		out[at].SplitAfter = splitKey(rates, run, out[at].Rate)
		run = run[:0]
	}
	for _, key := range slices.Sorted(maps.Keys(rates)) {
		for at+1 < len(from) && key >= from[at+1] {
			flush()
			at++
		}
		out[at].Rate += rates[key]
		out[at].Keys++
		run = append(run, key)
	}
	flush()
	return out
}

// splitKey returns the last key of the first part for a division that halves the load.
// The first part never contains the last key.
func splitKey(rates map[uint16]float64, keys []uint16, total float64) uint16 {
	if len(keys) < 2 {
		return 0
	}
	sum := 0.0
	for i, key := range keys {
		sum += rates[key]
		if sum >= total/2 || i == len(keys)-2 {
			// Without this key the first part may be closer to half of the load.
			if i > 0 && sum-total/2 > total/2-(sum-rates[key]) {
				return keys[i-1]
			}
			return key
		}
	}
	return keys[0]
}
