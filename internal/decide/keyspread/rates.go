package keyspread

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Rates are the requests per second for each key, as a moving mean. It belongs to
// one goroutine.
type Rates struct {
	keys map[uint16]float64
	at   time.Duration
}

const (
	// memory is the time over which a rate is forgotten to 1/e. A change shows
	// within a second; at a hundred requests a second to a hot neighbourhood the
	// rate is known to about a tenth.
	memory = 1200 * time.Millisecond
	// least is the rate below which a key is forgotten.
	least = 0.02
)

// NewRates returns rates of nothing.
func NewRates() *Rates { return &Rates{keys: make(map[uint16]float64)} }

// Add records requests for a key.
func (r *Rates) Add(key uint16, requests int) {
	r.keys[key] += float64(requests) / memory.Seconds()
}

// Advance lets the rates fade until now.
func (r *Rates) Advance(now time.Duration) {
	if r.at == 0 {
		r.at = now
	}
	fade := math.Exp(-float64(now-r.at) / float64(memory))
	r.at = now
	for key, rate := range r.keys {
		if rate*fade < least {
			delete(r.keys, key)
			continue
		}
		r.keys[key] = rate * fade
	}
}

// Sum is the load of a range of keys.
type Sum struct {
	Rate float64
	Keys int
	// Half is the last key of the first part when the load is halved.
	Half uint16
}

// Sums returns the load of ranges that begin at these keys and cover the key
// space.
func (r *Rates) Sums(from []uint16) []Sum {
	out := make([]Sum, len(from))
	if len(from) == 0 {
		return out
	}
	at := 0
	var run []uint16
	flush := func() {
		out[at].Half = r.half(run, out[at].Rate)
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

// half returns the key up to which half of the load lies; the last key is never
// in the first part.
func (r *Rates) half(keys []uint16, total float64) uint16 {
	if len(keys) < 2 {
		return 0
	}
	sum := 0.0
	for i, key := range keys {
		sum += r.keys[key]
		if sum >= total/2 || i == len(keys)-2 {
			// Closer to the half from below, where there is something below.
			if i > 0 && sum-total/2 > total/2-(sum-r.keys[key]) {
				return keys[i-1]
			}
			return key
		}
	}
	return keys[0]
}
