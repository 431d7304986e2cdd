package fitness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usualStep = 20 * time.Millisecond

// Guards against a grantor with a sixth of its CPU time that mistakes its own delays for
// silent targets and moves their keys, which went on for six seconds. The delay of its
// steps must be detected within 2 s; a single long step must not count.
func TestSlowGrantorIsDetected(t *testing.T) {
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

func TestGrantorWithoutAnswersIsIsolated(t *testing.T) {
	require.True(t, Isolated(9, 10))
	require.True(t, Isolated(5, 10))
	require.False(t, Isolated(3, 10), "so many targets may be lost at once")
	require.False(t, Isolated(2, 2), "so few owners are not conclusive")
}

// Guards against a grantor with a sixth of its CPU time whose steps are in time while up
// to 160 grants wait half a second to two seconds each. A hot key that moved had no owner
// for three seconds.
func TestLongGrantWaitsAreDetected(t *testing.T) {
	m := NewMeter(usualStep)
	now := time.Hour
	step := func(waited time.Duration) bool {
		now += usualStep
		m.RecordGrant(waited)
		return m.RecordStep(now)
	}
	for i := range int(gracePeriod/usualStep) + 200 {
		require.False(t, step(time.Duration(i%16)*3*time.Millisecond), "the last grant of an owner waits for the others")
	}
	slowAt := -1
	for i := range 40 {
		if slowAt < 0 && step(900*time.Millisecond) {
			slowAt = i
		}
	}
	require.GreaterOrEqual(t, slowAt, 4, "a few late grants must not count")
	require.Less(t, slowAt, 16)
}

// Guards against grantors that resign in turn if a service has more ranges than any VM can
// renew in time. Ten grantors resigned within forty seconds.
func TestNewGrantorMayHaveLongWaits(t *testing.T) {
	m := NewMeter(usualStep)
	for now := time.Hour; now < time.Hour+gracePeriod; now += usualStep {
		m.RecordGrant(2 * maxGrantWait)
		require.False(t, m.RecordStep(now))
	}
}
