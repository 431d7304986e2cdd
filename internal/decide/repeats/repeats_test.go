package repeats

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

var limit = Limit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// All targets lose their answers, and eight VMs want to repeat everything at
// once and without end. In no window may the service see more repeats than the
// operators allow for all VMs together.
func TestNoWindowExceedsTheLimitOfAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, steps, step = 8, 400, 100 * time.Millisecond
		budgets := make([]Budget, vms)
		requests, repeats := make([]float64, steps), make([]float64, steps)
		for i := range steps {
			now := time.Duration(i) * step
			for vm := range budgets {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					budgets[vm].Request(limit, now)
					requests[i]++
				}
				for range 4 {
					if budgets[vm].Repeat(limit, vms, now).Granted {
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

func TestRepeatsComeBackAfterTheWindow(t *testing.T) {
	var b Budget
	n := 0
	for b.Repeat(limit, 8, 0).Granted {
		n++
	}
	require.Equal(t, 4, n)
	require.False(t, b.Repeat(limit, 8, 5*time.Second).Granted)
	require.True(t, b.Repeat(limit, 8, 11*time.Second).Granted)
}

// Targets refuse half of their requests for no lasting reason. What the operators allow is
// repeated, nearly all of it: each repeat that is left out is a caller that is refused.
func TestNearlyAllOfTheRatioIsUsed(t *testing.T) {
	var b Budget
	requests, repeats := 0, 0
	for now := time.Duration(0); now < limit.Window; now += 10 * time.Millisecond {
		b.Request(limit, now)
		requests++
		if b.Repeat(limit, 8, now).Granted {
			repeats++
		}
	}
	require.Greater(t, float64(repeats), 0.85*limit.Ratio*float64(requests))
}
