package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a successor that waits again for grantors whose wait has ended.
func TestRecordStatesTheRestOfTheWait(t *testing.T) {
	a := Owner{ID: "a"}
	old := firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})})
	next := old.Succeed(nil, PredecessorMayGrant)
	next.Epoch = 2
	g := NewGrantor(next, simTiming, time.Hour, time.Hour)
	require.Equal(t, longestArrival, g.Record().Earlier.Within())
	later := time.Hour + 5*time.Second
	written := g.Plan(later, nil)
	require.Equal(t, longestArrival-5*time.Second, written.Earlier.Within())
	g.Commit(written, later)
	require.False(t, g.StatesEndedWait(later), "the wait has not ended")
	later = time.Hour + longestArrival
	require.True(t, g.StatesEndedWait(later))
	g.Commit(g.Plan(later, nil), later)
	require.False(t, g.StatesEndedWait(later))
	require.Equal(t, ArrivalWithin(maxGrantTransit), g.Record().Succeed(nil, PredecessorEnded).Earlier)
}

// Guards against planned stops in series that make each successor wait longer than the one before.
func TestSuccessionsAfterCleanEndsDoNotAddUp(t *testing.T) {
	r := firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{{ID: "a"}})})
	now := time.Hour
	for range 9 {
		g := NewGrantor(r, simTiming, now, now)
		now += 300 * time.Millisecond
		r = g.Plan(now, nil)
		r.Resigned = true
		r = r.Succeed(nil, PredecessorMayGrant)
		r.Resigned = false
		r.Epoch++
		require.Equal(t, ArrivalWithin(maxGrantTransit), r.Earlier)
		require.False(t, NewGrantor(r, simTiming, now, now).StatesEndedWait(now+time.Hour), "no write of its own is due")
	}
}
