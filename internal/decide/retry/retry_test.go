package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against wrong answers and second runs over any sequence of outcomes: a request that may
// have run is never refused as not run, and is repeated only if it is idempotent. Repeats that
// take a token stay within tokensPerRequest for each new request plus maxTokens.
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
				require.False(t, ran && v == Refuse, "refused as not run, but may have run")
				require.False(t, ran && !idempotent && v == Repeat, "not idempotent and repeated, but may have run")
				require.False(t, !ran && v == AnswerUnknown, "answered as unknown, but did not run")
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

// Guards against repeats that cannot end before the deadline.
func TestNoRepeatPastTheDeadline(t *testing.T) {
	a := Attempt{Outcome: Unsent, Attempts: 1, Remaining: 9 * time.Millisecond, ServiceTime: 10 * time.Millisecond}
	require.Equal(t, Refuse, NewBudget().Decide(a))
	a.Remaining = 11 * time.Millisecond
	require.Equal(t, Repeat, NewBudget().Decide(a))
}
