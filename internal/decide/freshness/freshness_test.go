package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against old knowledge that looks recent because a heartbeat was delayed.
func TestAgeCountsFromTheConfirmationHoweverLateItIsHeardOf(t *testing.T) {
	tracker := NewTracker(10 * time.Second)
	require.False(t, tracker.Confirmed())
	require.Equal(t, time.Second, tracker.Age(11*time.Second), "since the start")
	require.EqualValues(t, UnknownAgeMs, tracker.Mark(11*time.Second).AgeMs)
	tracker.Merge(Mark{Count: 7, AgeMs: 200}, 12*time.Second, 15*time.Second)
	require.Equal(t, 3200*time.Millisecond, tracker.Age(15*time.Second))
	tracker.Merge(Mark{Count: 9, AgeMs: 1900}, 13*time.Second, 15*time.Second)
	require.Equal(t, 3200*time.Millisecond, tracker.Age(15*time.Second), "an older confirmation in a later message")
	tracker.Merge(Mark{Count: 10, AgeMs: UnknownAgeMs}, 15*time.Second, 15*time.Second)
	require.Equal(t, 3200*time.Millisecond, tracker.Age(15*time.Second), "a VM without a confirmation")
	tracker.Confirm(9, 4, 16*time.Second, 17*time.Second)
	require.Equal(t, time.Second, tracker.Age(17*time.Second))
	require.Equal(t, Mark{Count: 11, Revision: 9, Version: 4, Newest: 4, AgeMs: 1001}, tracker.Mark(17*time.Second+time.Microsecond), "rounded up")
}

// Guards against a confirmation that looks recent because the heartbeat that repeats it was delayed.
func TestDelayedMarkDoesNotRenewTheAge(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Merge(Mark{Count: 7}, time.Second, time.Second)
	tracker.Merge(Mark{Count: 6}, time.Second/2, 3*time.Second)
	tracker.Merge(Mark{Count: 7}, time.Second, 3*time.Second)
	tracker.Merge(Mark{Count: 9}, time.Second, 3*time.Second)
	require.Equal(t, 2*time.Second, tracker.Age(3*time.Second))
	tracker.Confirm(9, 4, 4*time.Second, 4*time.Second)
	require.Equal(t, Mark{Count: 10, Revision: 9, Version: 4, Newest: 4}, tracker.Mark(4*time.Second))
	require.Zero(t, tracker.Age(4*time.Second))
}

// Guards against a message of unknown age that renews the age of what is known.
func TestMessageOfUnknownAgeTellsOnlyWhichVersionsExist(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Confirm(9, 4, time.Second, time.Second)
	tracker.Merge(Mark{Count: 70, Revision: 12, Version: 5}, 0, 3*time.Second)
	require.Equal(t, 2*time.Second, tracker.Age(3*time.Second))
	require.Equal(t, Mark{Count: 70, Revision: 9, Version: 4, Newest: 5, AgeMs: 2000}, tracker.Mark(3*time.Second))
}

// Guards against polls from a revision whose changes the version beside it does not include.
func TestRevisionAndVersionAreMergedAsAPair(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Confirm(9, 4, time.Second, time.Second)
	tracker.Merge(Mark{Count: 1, Revision: 8, Version: 5}, 2*time.Second, 2*time.Second)
	mark := tracker.Mark(2 * time.Second)
	require.EqualValues(t, 9, mark.Revision)
	require.EqualValues(t, 4, mark.Version)
	require.EqualValues(t, 5, mark.Newest)
	tracker.Merge(Mark{Count: 1, Revision: 12, Version: 5}, 3*time.Second, 3*time.Second)
	require.EqualValues(t, 12, tracker.Mark(3*time.Second).Revision)
	require.EqualValues(t, 5, tracker.Mark(3*time.Second).Version)
}

// Guards against a confirmation passed on by a VM that has not got the change yet.
func TestVersionIsMissingFromWhenItWasHeardOf(t *testing.T) {
	for _, sentAt := range []time.Duration{0, time.Second} {
		tracker := NewTracker(0)
		tracker.Merge(Mark{Count: 7, Version: 4}, sentAt, time.Second)
		tracker.Merge(Mark{Count: 8, Version: 5}, sentAt, 2*time.Second)
		tracker.Merge(Mark{Count: 9, Version: 5}, sentAt, 3*time.Second)
		require.Zero(t, tracker.MissingFor(5, 4*time.Second))
		require.Equal(t, 2*time.Second, tracker.MissingFor(4, 4*time.Second))
	}
}

func TestLaterPlacesReadLaterButSoonInALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		place := rapid.IntRange(0, 1000).Draw(t, "place")
		require.LessOrEqual(t, Delay(place), Delay(place+1))
		require.LessOrEqual(t, Delay(2*place+firstGroup), Delay(place)+groupDelay)
	})
	require.Zero(t, Delay(firstGroup-1))
	require.Equal(t, groupDelay, Delay(firstGroup))
	require.Equal(t, 6*groupDelay, Delay(299))
}
