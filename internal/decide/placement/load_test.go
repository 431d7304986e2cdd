package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// outcome is the imbalance and the number of moves of a run.
type outcome struct {
	planned, hashed, least float64 // highest over mean load in each second, averaged over the run
	moves                  int
	worstMinute            int
}

// measureOutcome sends traffic for the given minutes after a warm-up of five minutes.
func measureOutcome(w *simulation, t *traffic, minutes int) outcome {
	w.step = time.Second
	for range 5 * 60 {
		t.sendSecond(w)
		w.planOnce()
	}
	var o outcome
	begin := w.moves
	for range minutes {
		before := w.moves
		for range 60 {
			planned, hashed, least := t.sendSecond(w)
			w.planOnce()
			o.planned += planned
			o.hashed += hashed
			o.least += least
		}
		o.worstMinute = max(o.worstMinute, w.moves-before)
	}
	n := float64(60 * minutes)
	o.planned, o.hashed, o.least = o.planned/n, o.hashed/n, o.least/n
	o.moves = w.moves - begin
	return o
}

// settings are the measured weights; see docs/MEASUREMENTS.md.
var settings = []struct {
	name    string
	weights model.Weights
}{
	{"imbalance 4", model.Weights{Imbalance: 4, Churn: 1, Unavailable: 1}},
	{"equal", equal},
	{"sjalfvirkni", model.Weights{Imbalance: 2, Churn: 2, Unavailable: 1}},
	{"kalahari", model.Weights{Imbalance: 1, Churn: 1, Unavailable: 3}},
	{"churn 4", model.Weights{Imbalance: 1, Churn: 4, Unavailable: 1}},
	{"no moves", model.Weights{Churn: 1}},
}

// Guards against targets overloaded by a key that is hot for a minute, which happens if
// ownership follows from hashing alone, and against a planner that follows each hot key
// with many moves.
func TestMovingHotKey(t *testing.T) {
	for _, s := range settings {
		w := newSimulation(10, 4, 9, 64, s.weights)
		o := measureOutcome(w, newTraffic(2000, 1), 10)
		policy := PolicyOf(s.weights)
		t.Logf("%-12s imbalance %.2f (hashing %.2f, least possible %.2f), moves %d in 10 min, at most %d a minute",
			s.name, o.planned, o.hashed, o.least, o.moves, o.worstMinute)
		perMinute := policy.Churn * 64
		require.LessOrEqual(t, float64(o.worstMinute), perMinute*(1+burstShare)+1, s.name)
		if policy.Churn >= baseChurn {
			require.LessOrEqual(t, o.planned, o.least*1.25+policy.Band, s.name)
			require.Less(t, o.planned, o.hashed, s.name)
		}
	}
}

func TestWeightsTradeImbalanceForChurn(t *testing.T) {
	run := func(w model.Weights) outcome {
		return measureOutcome(newSimulation(10, 4, 9, 64, w), newTraffic(2000, 2), 5)
	}
	even := run(model.Weights{Imbalance: 4, Churn: 1, Unavailable: 1})
	calm := run(model.Weights{Imbalance: 1, Churn: 4, Unavailable: 1})
	require.Less(t, even.planned, calm.planned)
	require.Greater(t, even.moves, calm.moves)
	double := PolicyOf(model.Weights{Imbalance: 1, Churn: 2, Unavailable: 2})
	one := PolicyOf(equal)
	require.InDelta(t, 2*one.Band, double.Band, 1e-9)
	require.InDelta(t, 2*one.Gain, double.Gain, 1e-9)
	require.InDelta(t, one.Churn/2, double.Churn, 1e-9)
}
