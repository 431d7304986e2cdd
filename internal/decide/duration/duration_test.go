package duration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var short, long = KindOf("c", "GET", "/short/1"), KindOf("c", "GET", "/long/1")

func TestKindIsCustomerMethodAndFirstPart(t *testing.T) {
	require.Equal(t, KindOf("c", "GET", "/book/1"), KindOf("c", "GET", "/book/2?x=/y"))
	require.Equal(t, KindOf("c", "GET", "/book"), KindOf("c", "GET", "/book?x=1"))
	require.NotEqual(t, KindOf("c", "GET", "/book/1"), KindOf("d", "GET", "/book/1"))
	require.NotEqual(t, KindOf("c", "GET", "/book/1"), KindOf("c", "POST", "/book/1"))
	require.NotEqual(t, KindOf("c", "GET", "/book/1"), KindOf("c", "GET", "/shelf/1"))
}

// A dispatcher has just started. It must not refuse by a guess, and must not take
// the first slow answer, that of a target that has just started too, for long jobs.
func TestNoEstimateWithoutSamples(t *testing.T) {
	table := NewTable()
	require.False(t, table.Known())
	require.Equal(t, defaultEstimate, table.Expect(short))
	table.Add(long, 2*time.Second)
	require.False(t, table.Known())
	require.False(t, table.Long(long))
	for range minSamples {
		table.Add(short, 20*ms)
	}
	require.True(t, table.Known())
	require.False(t, table.Long(long), "one answer may be a pause of its target")
	table.Add(long, 2*time.Second)
	require.True(t, table.Long(long))
	require.Equal(t, table.Mean(), table.Expect(KindOf("new", "GET", "/")), "an unseen kind is as the mean of all")
}

// One job in a hundred takes a hundred times longer, by a path of its own. Both are
// expected to take what they take, and only the long ones count as long.
func TestLongKindAmongShortOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table := NewTable()
	for i := range 2000 {
		table.Add(short, time.Duration(random.ExpFloat64()*float64(20*ms)))
		if i%100 == 99 {
			table.Add(long, 2*time.Second)
		}
		require.False(t, table.Long(short), "after %d", i)
	}
	require.True(t, table.Long(long))
	require.InEpsilon(t, 2, table.Expect(long).Seconds(), 0.01)
	require.InDelta(t, 0.02, table.Expect(short).Seconds(), 0.015)
}

// A service gets ten times slower in a deployment. Expectations follow within the
// last 16 answers; else requests are let in that cannot be answered in time.
func TestExpectationFollowsAChange(t *testing.T) {
	table := NewTable()
	for range 1000 {
		table.Add(short, 20*ms)
	}
	for range 4 * kindSamples {
		table.Add(short, 200*ms)
	}
	require.InEpsilon(t, 0.2, table.Expect(short).Seconds(), 0.05)
}

// A caller puts a number into the first part of its paths, so that kinds are
// endless. Memory is bounded, and a kind in use is still known.
func TestKindsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 5 * maxKinds {
		table.Add(KindOf("c", "GET", fmt.Sprintf("/%d/x", i)), 20*ms)
		require.LessOrEqual(t, len(table.kinds), maxKinds)
	}
	for range kindSamples {
		table.Add(long, time.Second)
	}
	require.Equal(t, time.Second, table.Expect(long))
}

// Time stands still between two readings of a coarse clock: an answer took nothing.
// Logarithms and shares of work stay finite.
func TestZeroDuration(t *testing.T) {
	table := NewTable()
	for range minSamples {
		table.Add(short, 0)
	}
	require.Equal(t, minDuration, table.Expect(short))
	table.Add(long, time.Second)
	table.Add(long, time.Second)
	require.True(t, table.Long(long))
}
