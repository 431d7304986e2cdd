package loadgen

import (
	"slices"
	"time"
)

// KeyStats are the statistics of a workload's keys: their availability, moves and balance.
type KeyStats struct {
	// Keys counts the distinct keys of the requests.
	Keys int `json:"keys"`
	// Unavailable counts keys that were unavailable at any time; P50 and Worst
	// are the median and maximum of their longest unavailable times, in milliseconds.
	Unavailable int     `json:"unavailable"`
	P50         float64 `json:"unavailableP50ms"`
	Worst       float64 `json:"unavailableWorstms"`
	// Moves counts the answers for a key by another target than the one before.
	Moves int `json:"moves"`
	// Imbalance is the highest number of answers of a target divided by the mean.
	Imbalance float64 `json:"imbalance"`
}

// keyStats computes the statistics from a workload's outcomes.
func keyStats(outcomes []outcome, slowAfter time.Duration) *KeyStats {
	byKey := make(map[string][]outcome)
	served := make(map[string]int)
	for _, o := range outcomes {
		byKey[o.key] = append(byKey[o.key], o)
		if o.answered() {
			served[o.servedBy]++
		}
	}
	f := &KeyStats{Keys: len(byKey), Imbalance: imbalance(served)}
	var worst []time.Duration
	for _, history := range byKey {
		slices.SortFunc(history, func(a, b outcome) int { return int(a.planned - b.planned) })
		f.Moves += moves(history)
		if d := unavailable(history, slowAfter); d > 0 {
			worst = append(worst, d)
		}
	}
	slices.Sort(worst)
	if f.Unavailable = len(worst); f.Unavailable > 0 {
		f.P50 = milliseconds(worst[len(worst)/2])
		f.Worst = milliseconds(worst[len(worst)-1])
	}
	return f
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// unavailable returns the longest interval in which a key was not served: from the
// planned time of the first request that failed or was slow, to the next answer.
// A slow answer ends the interval when it arrives. The resolution is the time between
// two requests for the key. history must be sorted by planned time.
func unavailable(history []outcome, slowAfter time.Duration) time.Duration {
	var longest, from time.Duration
	open := false
	for i := range history {
		o := &history[i]
		good := o.answered() && o.took < slowAfter
		if !good && !open {
			open, from = true, o.planned
		}
		if open && o.answered() {
			longest = max(longest, o.planned+o.took-from)
			open = false
		}
	}
	if open {
		// The key was not served again: the interval ends with its last request.
		last := &history[len(history)-1]
		longest = max(longest, last.planned+last.took-from)
	}
	return longest
}

func moves(history []outcome) int {
	n, last := 0, ""
	for i := range history {
		if by := history[i].servedBy; history[i].answered() {
			if last != "" && by != last {
				n++
			}
			last = by
		}
	}
	return n
}

func imbalance(served map[string]int) float64 {
	highest, sum := 0, 0
	for _, n := range served {
		highest = max(highest, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(served)) / float64(sum)
}
