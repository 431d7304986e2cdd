package keyspread

import "slices"

// overloadLimit is the load of an owner above which requests are limited. It is well above 1
// because measured capacities may be off considerably, and below it the VMs' own counts of
// requests bound the owner's queue.
const overloadLimit = 2.0

// Admitted returns the share of the requests for each range that should reach its owner, from 0
// to 1. The hottest ranges of an overloaded owner are limited first, and to the same rate, so that
// a key that no owner can serve takes no capacity from the other keys of its owner.
func Admitted(ranges []Range, capacity []float64) []float64 {
	out := make([]float64, len(ranges))
	owned := make([][]int, len(capacity))
	load := Loads(ranges, capacity)
	for i, r := range ranges {
		out[i] = 1
		if r.Owner >= 0 && load[r.Owner] > overloadLimit {
			owned[r.Owner] = append(owned[r.Owner], i)
		}
	}
	for owner, list := range owned {
		limit := commonLimit(ranges, list, overloadLimit*capacity[owner])
		for _, i := range list {
			if ranges[i].Rate > limit {
				out[i] = limit / ranges[i].Rate
			}
		}
	}
	return out
}

// commonLimit returns the highest rate to which each of the listed ranges can be limited so that
// their sum does not exceed total.
func commonLimit(ranges []Range, list []int, total float64) float64 {
	rates := make([]float64, len(list))
	for i, at := range list {
		rates[i] = ranges[at].Rate
	}
	slices.Sort(rates)
	for i, rate := range rates {
		share := total / float64(len(rates)-i)
		if rate > share {
			return share
		}
		total -= rate
	}
	return total
}
