package fitness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usualStep = 20 * time.Millisecond

// The grantor's VM gets a sixth of its processor time. It took its own delays for
// silence of targets and moved their keys about for six seconds. It must notice
// within a second that it is the slow one; a single long step is no reason.
func TestSlowGrantorNotices(t *testing.T) {
	m := NewMeter(usualStep)
	now := time.Hour
	step := func(gap time.Duration) bool {
		now += gap
		return m.RecordStep(now)
	}
	for range 100 {
		require.False(t, step(usualStep+3*time.Millisecond))
	}
	require.False(t, step(300*time.Millisecond))
	for range 50 {
		require.False(t, step(usualStep))
	}
	begin := now
	for !step(150 * time.Millisecond) {
		require.Less(t, now-begin, 2*time.Second)
	}
}

func TestGrantorThatNobodyAnswersBlamesItself(t *testing.T) {
	require.True(t, Isolated(9, 10))
	require.True(t, Isolated(5, 10))
	require.False(t, Isolated(3, 10), "that many targets may be lost")
	require.False(t, Isolated(2, 2), "with so few, nothing tells")
}

// A grantor got a sixth of its processor time for six seconds. Its steps came in
// time, but up to 160 grants waited for their turn, half a second to two each: a hot
// key that moved had no owner for three seconds.
func TestGrantorWhoseGrantsWaitIsUnfit(t *testing.T) {
	m := NewMeter(usualStep)
	now := time.Hour
	step := func(waited time.Duration) bool {
		now += usualStep
		m.RecordGrant(waited)
		return m.RecordStep(now)
	}
	for i := range int(gracePeriod/usualStep) + 200 {
		require.False(t, step(time.Duration(i%16)*3*time.Millisecond), "the last of an owner's grants waits for the others")
	}
	unfit := -1
	for i := range 40 {
		if unfit < 0 && step(900*time.Millisecond) {
			unfit = i
		}
	}
	require.GreaterOrEqual(t, unfit, 4, "a few late ones are no sign")
	require.Less(t, unfit, 16)
}

// A service had so many ranges that no VM could renew them in time. Ten grantors
// resigned one after the other within forty seconds.
func TestNewGrantorIsNotJudgedByWaits(t *testing.T) {
	m := NewMeter(usualStep)
	for now := time.Hour; now < time.Hour+gracePeriod; now += usualStep {
		m.RecordGrant(2 * maxGrantWait)
		require.False(t, m.RecordStep(now))
	}
}
