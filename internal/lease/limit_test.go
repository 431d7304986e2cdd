package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLimitIsCloseToRequestedFraction(t *testing.T) {
	require.Equal(t, Unlimited, NewLimit(1, 5))
	require.Equal(t, 1.0, Unlimited.Fraction())
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(maxLimit.Fraction(), 0.85).Draw(t, "part")
		last := Limit(rapid.IntRange(0, int(maxLimit)).Draw(t, "last"))
		require.InDelta(t, 1, NewLimit(part, last).Fraction()/part, 0.45)
	})
}

// Guards against sending an update to all VMs for each small change of a key's load.
func TestSmallLoadChangeKeepsLimit(t *testing.T) {
	limit := NewLimit(0.1, Unlimited)
	for _, part := range []float64{0.09, 0.11, 0.1, 0.115} {
		require.Equal(t, limit, NewLimit(part, limit))
	}
	require.NotEqual(t, limit, NewLimit(0.2, limit))
}

func TestUpdatesCarryLimits(t *testing.T) {
	owners := []Owner{{ID: "a"}, {ID: "b"}}
	record := Record{Service: "s", Epoch: 1, Slices: EvenSlices(4, owners)}
	served := func(int) SliceState { return Served }
	before, now := NewRouting(record, 1, served), NewRouting(record, 2, served)
	require.Empty(t, before.Limits, "no limits are sent if nothing is limited")
	now.SetLimits(func(i int) Limit { return Limit(10 * (i / 3)) })
	require.False(t, now.SameAs(before))
	update := UpdateBetween(before, now)
	require.Len(t, update.Routing.From, 1)
	got, ok := update.Apply(before)
	require.True(t, ok)
	require.True(t, got.Valid())
	require.Equal(t, Limit(10), got.LimitOf(65535))
	require.Equal(t, Unlimited, got.LimitOf(0))
	after := NewRouting(record, 3, served)
	got, ok = UpdateBetween(now, after).Apply(got)
	require.True(t, ok)
	require.True(t, got.SameAs(after), "an update removes a limit")
}
