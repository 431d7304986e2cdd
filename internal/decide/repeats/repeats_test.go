package repeats

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

var limit = Limit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// Guards against VMs that together send more repeats than the operators' limit for all VMs.
func TestNoWindowExceedsTheLimitOfAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, steps, step = 8, 400, 100 * time.Millisecond
		budgets := make([]Budget, vms)
		requests, repeats := make([]float64, steps), make([]float64, steps)
		for i := range steps {
			now := time.Duration(i) * step
			for vm := range budgets {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					budgets[vm].AddRequest(limit, now)
					requests[i]++
				}
				for range 4 {
					if budgets[vm].TakeRepeat(limit, vms, now).Granted {
						repeats[i]++
					}
				}
			}
		}
		width := int(limit.Window / step)
		for from := 0; from+width <= steps; from++ {
			inWindow := sum(requests[from : from+width])
			require.LessOrEqual(t, sum(repeats[from:from+width]), limit.Ratio*inWindow+limit.Slack)
		}
	})
}

// Guards against a new process that gets its part of the slack at once: the slack must be earned
// over the window, and little of it may be saved.
func TestSlackIsEarnedOverTheWindow(t *testing.T) {
	var b Budget
	repeats := func(now time.Duration) (n int) {
		for b.TakeRepeat(limit, 8, now).Granted {
			n++
		}
		return n
	}
	require.Zero(t, repeats(time.Hour))
	require.Zero(t, repeats(time.Hour+5*time.Second))
	require.Equal(t, 1, repeats(time.Hour+11*time.Second))
	require.Zero(t, repeats(time.Hour+12*time.Second))
	require.Equal(t, 4, repeats(2*time.Hour))
	require.Zero(t, repeats(2*time.Hour))
}

// Guards against VMs that each use the whole slack while they do not know the number of VMs.
func TestVMWithoutFleetSizeEarnsByRequestsOnly(t *testing.T) {
	var b Budget
	require.False(t, b.TakeRepeat(limit, 0, time.Hour).Granted)
	require.False(t, b.TakeRepeat(limit, 0, 2*time.Hour).Granted)
	for range 6 {
		b.AddRequest(limit, 2*time.Hour)
	}
	require.True(t, b.TakeRepeat(limit, 0, 2*time.Hour).Granted)
	require.False(t, b.TakeRepeat(limit, 0, 2*time.Hour).Granted)
}

// Guards against old requests that stay in the count after the window was changed.
func TestBudgetDropsOldRequestsWhenTheWindowChanges(t *testing.T) {
	var b Budget
	for range 100 {
		b.AddRequest(limit, time.Hour)
	}
	for _, window := range []time.Duration{time.Second, 100 * time.Second} {
		other := limit
		other.Window = window
		require.Zero(t, b.State(other, 8, time.Hour).Requests)
		b.AddRequest(other, time.Hour)
		require.EqualValues(t, 1, b.State(other, 8, time.Hour+window/2).Requests)
		require.Zero(t, b.State(other, 8, time.Hour+2*window).Requests)
	}
}

// Guards against refused repeats for which the bound still leaves room.
func TestNearlyAllOfTheRatioIsUsed(t *testing.T) {
	var b Budget
	requests, repeats := 0, 0
	for now := time.Duration(0); now < limit.Window; now += 10 * time.Millisecond {
		b.AddRequest(limit, now)
		requests++
		if b.TakeRepeat(limit, 8, now).Granted {
			repeats++
		}
	}
	require.Greater(t, float64(repeats), 0.85*limit.Ratio*float64(requests))
}
