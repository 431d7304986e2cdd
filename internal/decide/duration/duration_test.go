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

// A dispatcher has just started. It must not refuse requests by the default estimate, and
// must not classify a kind as long because of one slow answer from a target that has just
// started too.
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
	require.False(t, table.Long(long), "one slow answer may be a pause of the target")
	table.Add(long, 2*time.Second)
	require.True(t, table.Long(long))
	require.Equal(t, table.Mean(), table.Expect(KindOf("new", "GET", "/")), "an unseen kind takes the mean of all")
}

// One job in a hundred has a path of its own and takes a hundred times longer. Both kinds
// are estimated correctly, and only the long one counts as long.
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

// A service becomes ten times slower in a deployment. Estimates must follow within four
// times 16 answers; otherwise requests are accepted that cannot be answered in time.
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

// A caller puts a number into the first segment of its paths, so that the number of kinds
// is unbounded. Memory stays bounded, and a kind in use is still estimated.
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

// Two readings of a coarse clock are equal, so the measured duration is 0. Logarithms and
// shares of work must stay finite.
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
