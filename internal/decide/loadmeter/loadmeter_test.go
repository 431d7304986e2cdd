package loadmeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRateFollowsLoadAndDecays(t *testing.T) {
	m := New()
	hot, steady := Group{"s", 1}, Group{"s", 2}
	var now time.Duration
	for ; now < time.Minute; now += 10 * time.Millisecond {
		m.Add(hot, 1, now)
		m.Add(steady, 0.5, now)
	}
	rates := m.Hottest(8, now)
	require.Equal(t, hot, rates[0].Group)
	require.InDelta(t, 100, rates[0].Rate, 2)
	require.InDelta(t, 50, rates[1].Rate, 1)
	require.Len(t, m.Hottest(1, now), 1)
	for end := now + 3*TimeConstant; now < end; now += 10 * time.Millisecond {
		m.Add(steady, 0.5, now)
	}
	rates = m.Hottest(8, now)
	require.Equal(t, steady, rates[0].Group)
	require.Less(t, rates[1].Rate, 6.0)
	require.Empty(t, m.Hottest(8, now+10*time.Minute))
}
