package urgency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMostUrgentPriorityInUseIsFound(t *testing.T) {
	var m Meter
	require.False(t, m.MostUrgent(7), "no less urgent priority was seen yet")
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		m.Record(2, now)
		if i%3 == 0 {
			m.Record(1, now)
		}
	}
	require.True(t, m.MostUrgent(1))
	require.False(t, m.MostUrgent(2))
	require.True(t, m.MostUrgent(0), "an unseen priority that is more urgent than the others")
}

// A route of the highest priority is called only once. It must not keep places of every
// target free for requests that do not arrive.
func TestRarePriorityIsIgnored(t *testing.T) {
	var m Meter
	m.Record(0, 0)
	for i := range 100 {
		m.Record(1+i%2, time.Duration(i)*10*time.Millisecond)
	}
	require.True(t, m.MostUrgent(1))
	require.False(t, m.MostUrgent(2))
}

// Requests of the highest priority stop. Half a minute later that priority no longer counts.
func TestUnusedPriorityDecays(t *testing.T) {
	var m Meter
	for i := range 100 {
		m.Record(0, time.Duration(i)*10*time.Millisecond)
	}
	now := time.Second
	for now < 31*time.Second {
		now += 10 * time.Millisecond
		m.Record(1, now)
		m.Record(2, now)
	}
	require.True(t, m.MostUrgent(1))
}
