package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Over any sequence of outcomes: a request that may have run is never refused as
// not run and never repeated unless it is idempotent, and paid repeats stay under a
// tenth of the fresh requests plus the reserve.
func TestVerdictsMatchWhetherTheRequestMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		fresh, paid := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.AddRequest()
			fresh++
			idempotent, ran := rapid.Bool().Draw(t, "idempotent"), false
			for count := 1; ; count++ {
				out := Outcome(rapid.IntRange(int(Shed), int(Abandoned)).Draw(t, "outcome"))
				v := b.Decide(Attempt{
					Outcome: out, Idempotent: idempotent, Attempts: count, MayHaveRun: ran,
					Remaining: time.Second, ServiceTime: 10 * time.Millisecond,
				})
				ran = ran || out == Lost || out == Abandoned
				require.False(t, ran && v == Refuse, "refused and may have run")
				require.False(t, ran && !idempotent && v == Repeat, "repeated and may have run")
				require.False(t, !ran && v == AnswerUnknown, "unknown and did not run")
				if v != Repeat {
					break
				}
				require.Less(t, count, maxAttempts)
				if out == Shed || out == Lost {
					paid++
				}
			}
		}
		require.LessOrEqual(t, float64(paid), tokensPerRequest*float64(fresh)+maxTokens)
	})
}

func TestNoRepeatPastTheDeadline(t *testing.T) {
	a := Attempt{Outcome: Unsent, Attempts: 1, Remaining: 9 * time.Millisecond, ServiceTime: 10 * time.Millisecond}
	require.Equal(t, Refuse, NewBudget().Decide(a))
	a.Remaining = 11 * time.Millisecond
	require.Equal(t, Repeat, NewBudget().Decide(a))
}
