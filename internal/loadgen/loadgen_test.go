package loadgen

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
)

const ms = time.Millisecond

func good(at, took time.Duration, by string) outcome {
	return outcome{call: call{key: "k", planned: at}, took: took, ran: problem.RanYes, whole: true, servedBy: by}
}

func refusedAt(at time.Duration) outcome {
	return outcome{call: call{key: "k", planned: at}, took: ms, ran: problem.RanNo}
}

func TestUnavailableTime(t *testing.T) {
	cases := []struct {
		name    string
		history []outcome
		want    time.Duration
	}{
		{"always served", []outcome{good(0, 5*ms, "a"), good(50*ms, 5*ms, "a")}, 0},
		{"refused, then served", []outcome{good(0, 5*ms, "a"), refusedAt(50 * ms), refusedAt(100 * ms), good(150*ms, 5*ms, "b")}, 105 * ms},
		{"held, then answered", []outcome{good(0, 5*ms, "a"), good(50*ms, 600*ms, "b"), good(100*ms, 550*ms, "b")}, 600 * ms},
		{"never again", []outcome{good(0, 5*ms, "a"), refusedAt(50 * ms), refusedAt(90 * ms)}, 41 * ms},
	}
	for _, c := range cases {
		require.Equal(t, c.want, unavailable(c.history, 100*ms), c.name)
	}
}

func TestMovesAndImbalance(t *testing.T) {
	history := []outcome{good(0, ms, "a"), good(1, ms, "b"), refusedAt(2), good(3, ms, "b"), good(4, ms, "a")}
	require.Equal(t, 2, moves(history))
	require.InDelta(t, 1.5, imbalance(map[string]int{"a": 3, "b": 1}), 1e-9)
}

func TestPlanKeepsRateAndBounds(t *testing.T) {
	for _, arrivals := range []Arrivals{Poisson, Even, Bursts} {
		w := &Workload{Rate: 200, Arrivals: arrivals, Start: model.Duration(time.Second), Stop: model.Duration(9 * time.Second), BurstEvery: model.Duration(time.Second)}
		times, err := plan(w, rand.New(rand.NewPCG(1, 1)), 10*time.Second)
		require.NoError(t, err)
		require.InEpsilon(t, 1600, len(times), 0.13, arrivals)
		require.GreaterOrEqual(t, times[0], time.Second)
		require.Less(t, times[len(times)-1], 9*time.Second)
	}
}

func TestJudgeFindsBrokenPromises(t *testing.T) {
	w := &Workload{Method: "POST"}
	twice, refused := good(0, ms, "a"), refusedAt(1)
	var r Report
	r.judge(&tally{workload: w, outcomes: []outcome{twice, refused, good(2, ms, "a")}}, []int{2, 1, 1})
	require.Equal(t, 1, r.RanTwice)
	require.Equal(t, 1, r.RefusedYetRan)
	require.Equal(t, 4, r.Runs)
	require.False(t, r.GuaranteesKept())
}
