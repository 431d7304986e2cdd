package deadline

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestMaxStandingWait(t *testing.T) {
	cases := []struct {
		name  string
		mean  time.Duration
		slots float64
		want  time.Duration
	}{
		{"20 slots of 20 ms", 20 * ms, 20, 70 * ms},
		{"one slot", 20 * ms, 1, 640 * ms},
		{"less than one slot, as with a slow target, counts as one", 20 * ms, 0.1, 640 * ms},
		{"no slot", 20 * ms, 0, 640 * ms},
		{"a bound shorter than scheduling delays is raised to the minimum", 100 * time.Microsecond, 1000, minBound},
	}
	for _, c := range cases {
		require.Equal(t, c.want, MaxStandingWait(c.mean, c.slots), c.name)
	}
}

func TestWaitMeetsAndLatestStart(t *testing.T) {
	require.Equal(t, 500*ms, Wait(10, 20))
	require.Zero(t, Wait(10, 0), "unknown without slots")
	require.True(t, Meets(100*ms, 80*ms, 20*ms))
	require.False(t, Meets(100*ms, 80*ms, 20*ms+1))
	deadline := time.Unix(10, 0)
	require.Equal(t, deadline.Add(-20*ms), LatestStart(deadline, 20*ms))
}

const notFound = time.Duration(-1)

// feed adds arrivals at the given load in each millisecond of a period, with a wait over
// the bound. It returns the time until the queue was detected as standing, or notFound.
func feed(s *StandingQueue, from time.Time, during time.Duration, slots, load float64) time.Duration {
	for at := time.Duration(0); at <= during; at += ms {
		s.AddArrival(load * slots * ms.Seconds())
		if s.Update(from.Add(at), 100*ms, 70*ms, slots) {
			return at
		}
	}
	return notFound
}

// A burst fills the queue over the bound, and the load after it is below capacity. The
// requests of the burst can meet their deadlines, so none may be refused, however long the
// queue takes to empty.
func TestBurstIsNotStanding(t *testing.T) {
	var s StandingQueue
	s.AddArrival(20 * 0.5)
	require.Equal(t, notFound, feed(&s, time.Unix(1, 0), 3*time.Second, 20, 0.9))
}

// Overload is detected after two whole windows, neither in the first millisecond nor only
// after callers have timed out. It ends only with an empty queue, since a wait under the
// bound is the result of cutting the queue.
func TestOverloadIsDetectedAndEndsWithAnEmptyQueue(t *testing.T) {
	for _, load := range []float64{1.2, 1.5, 3} {
		var s StandingQueue
		begun := time.Unix(1, 0)
		found := feed(&s, begun, time.Second, 20, load)
		require.InDelta(t, (overloadWindows * overloadWindow).Seconds(), found.Seconds(), 0.01, "load %v", load)
		require.True(t, s.Update(begun.Add(found+ms), 10*ms, 70*ms, 20))
		require.False(t, s.Update(begun.Add(found+2*ms), 0, 70*ms, 20))
		require.False(t, s.Update(begun.Add(found+3*ms), 100*ms, 70*ms, 20), "detection starts over")
	}
}

// Single windows that exceed capacity by chance, as in a pool at 90% load, are not overload.
func TestIsolatedOverloadedWindowsDoNotAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StandingQueue
		at := time.Unix(1, 0)
		last := false
		for range rapid.IntRange(1, 40).Draw(t, "windows") {
			over := !last && rapid.Bool().Draw(t, "over")
			last = over
			load := 0.9
			if over {
				load = 2
			}
			require.Equal(t, notFound, feed(&s, at, overloadWindow-ms, 20, load))
			at = at.Add(overloadWindow)
		}
	})
}

// More work arrives than the slots can serve, but the wait stays under the bound, as in a
// large pool with few waiting requests. Cutting the queue would leave slots idle.
func TestShortQueueIsNotStanding(t *testing.T) {
	var s StandingQueue
	at := time.Unix(1, 0)
	for range 1000 {
		at = at.Add(ms)
		s.AddArrival(1)
		require.False(t, s.Update(at, 69*ms, 70*ms, 20))
	}
}

func TestRateFollowsWithinSeconds(t *testing.T) {
	var r Rate
	now := time.Unix(1, 0)
	require.Zero(t, r.Value(now))
	for range 5000 {
		now = now.Add(ms)
		r.Add(now, 0.002)
	}
	require.InEpsilon(t, 2, r.Value(now), 0.02)
	require.InEpsilon(t, 2*math.Exp(-1), r.Value(now.Add(rateTimeConstant)), 0.02)
}
