package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against events that do not show why keys became free. After two targets held the same keys, no
// log showed whether the previous owner had released them or its hold had expired.
func TestEventsDistinguishReleaseFromExpiry(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(2, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(a)
	g.MarkConfirmed(b)
	now := time.Hour
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Done, "", now, now)
	}
	require.Empty(t, g.TakeEvents(), "the first grant of a key is not a move")
	out := holdExpiry(now, simTiming.Hold)

	g.Commit(g.Plan(now, []Change{{Slice: 0, To: b}, {Slice: 1, To: b}}), now)
	for _, o := range g.DueOrders(now) {
		require.Equal(t, Release, o.Kind)
		result := Done
		if o.From > 0 {
			result = Unanswered
		}
		g.HandleResult(o, result, "", now, now)
	}
	for ; now < out+time.Second; now += 50 * time.Millisecond {
		for _, o := range g.DueOrders(now) {
			result := Done
			if o.Kind == Release {
				result = Unanswered
			}
			g.HandleResult(o, result, "", now, now)
		}
	}
	events := g.TakeEvents()
	require.Empty(t, g.TakeEvents())
	kinds := make([]EventKind, len(events))
	for i, e := range events {
		kinds[i] = e.Kind
		require.Equal(t, b, e.Owner)
	}
	require.Equal(t, []EventKind{Released, FirstGranted, Expired, FirstGranted}, kinds)
	require.Equal(t, a, events[0].Previous)
	require.Equal(t, time.Hour, events[0].PreviousHoldEnd)
	require.Equal(t, out, events[2].PreviousHoldEnd)
	require.Equal(t, events[2].Fence, events[3].Fence)
}
