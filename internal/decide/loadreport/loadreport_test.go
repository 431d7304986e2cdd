package loadreport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowTargetIsDeclined(t *testing.T) {
	work, objective := Work{Own: 100 * time.Millisecond, Mean: 100 * time.Millisecond}, 300*time.Millisecond
	require.True(t, Report{Slots: 2, Slowness: 1}.Accepts(work, objective))
	require.False(t, Report{Slots: 2, Slowness: 3}.Accepts(work, objective))
	require.False(t, Report{Running: 2, Waiting: 1, Slots: 2, Slowness: 1}.Accepts(work, objective))
	require.True(t, Report{Running: 2, Slots: 2, Slowness: 3}.Accepts(Work{Own: 10 * time.Millisecond, Mean: 10 * time.Millisecond}, objective), "fast enough all the same")
}

func TestLongWorkWaitsForASlotThatItNeedNotKeepFree(t *testing.T) {
	work, objective := Work{Own: 250 * time.Millisecond, Mean: 100 * time.Millisecond}, 800*time.Millisecond
	judge := func(running, waiting int, waited time.Duration) Verdict {
		return Report{Running: running, Waiting: waiting, Slots: 2, Slowness: 1}.JudgeLong(work, objective, waited)
	}
	require.Equal(t, Send, judge(0, 0, 0))
	require.Equal(t, Wait, judge(1, 0, 0))
	require.Equal(t, Send, judge(1, 0, 400*time.Millisecond), "it has waited long enough")
	require.Equal(t, Refuse, judge(2, 12, 400*time.Millisecond))
	require.True(t, LongWork(work.Own, 150*time.Millisecond))
	require.False(t, LongWork(work.Own, objective))
	require.False(t, LongWork(work.Own, 0), "no other route")
}

// Guards against requests that wait at an owner until their time is over, or that it never answers.
func TestRequestIsRefusedAtOnceIfItsOwnerIsTooBusy(t *testing.T) {
	work := Work{Own: 40 * time.Millisecond, Mean: 100 * time.Millisecond}
	require.Equal(t, Send, Report{Running: 2, Waiting: 2, Slots: 2, Slowness: 1}.Judge(work, time.Second))
	require.Equal(t, Refuse, Report{Running: 2, Waiting: 4, Slots: 2, Slowness: 1}.Judge(work, time.Second))
	require.Equal(t, Refuse, Report{Running: 2, Waiting: 3, Slots: 2, Slowness: 3}.Judge(work, 500*time.Millisecond))
}

// Guards against an overloaded pool in which all answers come late, instead of some requests being refused.
func TestRequestIsNotQueuedWhereItsAnswerWouldBeLate(t *testing.T) {
	work, objective := Work{Own: 100 * time.Millisecond, Mean: 100 * time.Millisecond}, 300*time.Millisecond
	suits := func(running, waiting int, slowness float64) bool {
		return Report{Running: running, Waiting: waiting, Slots: 2, Slowness: slowness}.Suits(work, objective, 2*time.Second)
	}
	require.True(t, suits(2, 3, 1))
	require.False(t, suits(2, 3, 2))
	require.True(t, suits(1, 0, 5), "it would not wait")
	require.False(t, suits(2, 4, 1), "full")
}

// Guards against queueing at a target that is taken for slowness of the target itself.
func TestRoundsCountTheWorkAhead(t *testing.T) {
	work := Work{Own: 50 * time.Millisecond, Mean: 100 * time.Millisecond}
	require.InDelta(t, 1, Report{Running: 1, Slots: 2, Slowness: 3}.Rounds(work), 1e-9)
	require.InDelta(t, 1+2*1.5, Report{Running: 2, Waiting: 2, Slots: 2, Slowness: 3}.Rounds(work), 1e-9)
	require.InDelta(t, 2.5, Report{Running: 2, Waiting: 2, Slots: 2}.Rounds(Work{}), 1e-9)
}
