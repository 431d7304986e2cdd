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
	keys      map[uint16]float64
	updatedAt time.Duration
}

const (
	// decayTime is the time in which a rate decays to 1/e. A change shows within a
	// second, and at a hundred requests per second for a group of hot keys the rate is
	// accurate to about a tenth.
	decayTime = 1200 * time.Millisecond
	// minRate is the rate below which a key is removed.
	minRate = 0.02
)

// NewRates returns rates without any keys.
func NewRates() *Rates { return &Rates{keys: make(map[uint16]float64)} }

// Add records requests for a key.
func (r *Rates) Add(key uint16, requests int) {
	r.keys[key] += float64(requests) / decayTime.Seconds()
}

// Advance decays the rates for the time since the last call.
func (r *Rates) Advance(now time.Duration) {
	if r.updatedAt == 0 {
		r.updatedAt = now
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(decayTime))
	r.updatedAt = now
	for key, rate := range r.keys {
		if rate*decay < minRate {
			delete(r.keys, key)
			continue
		}
		r.keys[key] = rate * decay
	}
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
	at := 0
	var run []uint16
	flush := func() {
		out[at].SplitAfter = r.splitKey(run, out[at].Rate)
		run = run[:0]
	}
	for _, key := range slices.Sorted(maps.Keys(r.keys)) {
		for at+1 < len(from) && key >= from[at+1] {
			flush()
			at++
		}
		out[at].Rate += r.keys[key]
		out[at].Keys++
		run = append(run, key)
	}
	flush()
	return out
}

// splitKey returns the last key of the first part for a division that halves the load.
// The first part never contains the last key.
func (r *Rates) splitKey(keys []uint16, total float64) uint16 {
	if len(keys) < 2 {
		return 0
	}
	sum := 0.0
	for i, key := range keys {
		sum += r.keys[key]
		if sum >= total/2 || i == len(keys)-2 {
			// Without this key the first part may be closer to half of the load.
			if i > 0 && sum-total/2 > total/2-(sum-r.keys[key]) {
				return keys[i-1]
			}
			return key
		}
	}
	return keys[0]
}
