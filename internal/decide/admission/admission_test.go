package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A customer sends as much as is admitted while its share changes: in any window, at most
// rate times window plus burst requests are admitted.
func TestAdmittedInAnyWindowIsWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Share{
			Rate:        float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst:       float64(rapid.IntRange(1, 50).Draw(t, "burst")),
			Concurrency: 1e9,
		}
		g := New()
		now := time.Unix(1000, 0)
		var admitted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			part := rapid.Float64Range(0, 1).Draw(t, "part")
			g.Set(Share{limit.Rate * part, limit.Burst * part, limit.Concurrency}, now)
			for g.Admit(now).OK {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				window := admitted[j].Sub(admitted[i]).Seconds()
				require.LessOrEqual(t, float64(j-i+1), limit.Burst+limit.Rate*window+1e-3)
			}
		}
	})
}

func TestRequestPassesExactlyAfterRetryAfter(t *testing.T) {
	g := New()
	now := time.Unix(1000, 0)
	g.Set(Share{Rate: 7, Burst: 2, Concurrency: 100}, now)
	for range 50 {
		d := g.Admit(now)
		if d.OK {
			continue
		}
		assert.False(t, g.Admit(now.Add(d.RetryAfter-2*time.Millisecond)).OK, "refused before Retry-After")
		now = now.Add(d.RetryAfter + time.Microsecond)
		assert.True(t, g.Admit(now).OK, "admitted after Retry-After")
	}
}

func TestConcurrencyIsBounded(t *testing.T) {
	g := New()
	now := time.Unix(1000, 0)
	g.Set(Share{Rate: 1000, Burst: 10, Concurrency: 2.9}, now)
	now = now.Add(time.Second)
	require.True(t, g.Admit(now).OK)
	require.True(t, g.Admit(now).OK)
	d := g.Admit(now)
	require.Equal(t, OverConcurrency, d.Reason)
	require.Positive(t, d.RetryAfter)
	g.Done(10 * time.Millisecond)
	require.True(t, g.Admit(now).OK)
}
