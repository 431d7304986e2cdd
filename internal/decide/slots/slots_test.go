package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The limit stays between 1 and the number of slots over any sequence of answers and
// sheds, and recovers to the number of slots with good answers.
func TestLimitStaysInBoundsAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limit
		full, now := rapid.IntRange(1, 20).Draw(t, "slots"), time.Unix(1_000_000, 0)
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "shed") {
				l.OnShed(now, full)
			} else {
				l.OnAnswer(now, full, rapid.Bool().Draw(t, "slow"))
			}
			require.GreaterOrEqual(t, l.Value(full), 1)
			require.LessOrEqual(t, l.Value(full), full)
		}
		for range full * full {
			l.OnAnswer(now, full, false)
		}
		require.Equal(t, full, l.Value(full))
	})
}

func TestSlowAnswersKeepHalfOfTheSlots(t *testing.T) {
	var l Limit
	for i := range 100 {
		l.OnAnswer(time.Unix(int64(i), 0), 8, true)
	}
	require.Equal(t, 4, l.Value(8))
}

func TestLongJobsLeaveASlotForShortOnes(t *testing.T) {
	for total := 2; total < 100; total++ {
		require.Less(t, MaxLongJobs(total), total)
		require.GreaterOrEqual(t, MaxLongJobs(total), total*8/10-1)
	}
	require.Equal(t, 1, MaxLongJobs(1))
}
