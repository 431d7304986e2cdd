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

func answeredAt(at, took time.Duration, by string) outcome {
	return outcome{call: call{key: "k", planned: at}, took: took, ran: problem.RanYes, intact: true, servedBy: by}
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
		{"always served", []outcome{answeredAt(0, 5*ms, "a"), answeredAt(50*ms, 5*ms, "a")}, 0},
		{"refused, then served", []outcome{answeredAt(0, 5*ms, "a"), refusedAt(50 * ms), refusedAt(100 * ms), answeredAt(150*ms, 5*ms, "b")}, 105 * ms},
		{"held, then answered", []outcome{answeredAt(0, 5*ms, "a"), answeredAt(50*ms, 600*ms, "b"), answeredAt(100*ms, 550*ms, "b")}, 600 * ms},
		{"never again", []outcome{answeredAt(0, 5*ms, "a"), refusedAt(50 * ms), refusedAt(90 * ms)}, 41 * ms},
	}
	for _, c := range cases {
		require.Equal(t, c.want, unavailable(c.history, 100*ms), c.name)
	}
}

func TestMovesAndImbalance(t *testing.T) {
	history := []outcome{answeredAt(0, ms, "a"), answeredAt(1, ms, "b"), refusedAt(2), answeredAt(3, ms, "b"), answeredAt(4, ms, "a")}
	require.Equal(t, 2, moves(history))
	require.InDelta(t, 1.5, imbalance(map[string]int{"a": 3, "b": 1}), 1e-9)
}

func TestArrivalTimesKeepRateAndBounds(t *testing.T) {
	for _, arrivals := range []Arrivals{Poisson, Even, Bursts} {
		w := &Workload{Rate: 200, Arrivals: arrivals, Start: model.Duration(time.Second), Stop: model.Duration(9 * time.Second), BurstEvery: model.Duration(time.Second)}
		times, err := arrivalTimes(w, rand.New(rand.NewPCG(1, 1)), 10*time.Second)
		require.NoError(t, err)
		require.InEpsilon(t, 1600, len(times), 0.13, arrivals)
		require.GreaterOrEqual(t, times[0], time.Second)
		require.Less(t, times[len(times)-1], 9*time.Second)
	}
}

func TestReportFindsViolatedGuarantees(t *testing.T) {
	w := &Workload{Method: "POST"}
	twice, refused := answeredAt(0, ms, "a"), refusedAt(1)
	var r Report
	r.addRuns(&tally{workload: w, outcomes: []outcome{twice, refused, answeredAt(2, ms, "a")}}, []int{2, 1, 1})
	require.Equal(t, 1, r.RanTwice)
	require.Equal(t, 1, r.RefusedYetRan)
	require.Equal(t, 4, r.Runs)
	require.False(t, r.GuaranteesKept())
}
