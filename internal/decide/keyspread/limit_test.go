package keyspread

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a key that is too hot for its owner and takes capacity from the owner's other keys.
func TestOnlyHotKeyOfOverloadedOwnerIsLimited(t *testing.T) {
	for _, vms := range []float64{10, 100, 300} {
		hot := 2 * vms
		ranges := []Range{{Owner: 0, Rate: hot}, {Owner: 0, Rate: 2}, {Owner: 0, Rate: 1}, {Owner: 1, Rate: 5}}
		admitted := Admitted(ranges, []float64{7, 7})
		require.InDelta(t, (7*overloadLimit-3)/hot, admitted[0], 1e-9, "the hot key gets what the others leave")
		require.Equal(t, []float64{1, 1, 1}, admitted[1:])
	}
}

func TestAdmittedRequestsFitTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SliceOfN(rapid.Float64Range(1, 100), 1, 5).Draw(t, "capacity")
		ranges := make([]Range, rapid.IntRange(0, 20).Draw(t, "ranges"))
		for i := range ranges {
			ranges[i] = Range{Owner: rapid.IntRange(-1, len(capacity)-1).Draw(t, "owner"), Rate: rapid.Float64Range(0, 200).Draw(t, "rate")}
		}
		admitted := Admitted(ranges, capacity)
		before, after := Loads(ranges, capacity), make([]float64, len(capacity))
		for i, r := range ranges {
			require.True(t, admitted[i] >= 0 && admitted[i] <= 1)
			if r.Owner >= 0 {
				after[r.Owner] += r.Rate * admitted[i] / capacity[r.Owner]
			}
		}
		for owner, load := range before {
			require.InDelta(t, min(load, overloadLimit), after[owner], 1e-6, "an owner's admitted load is neither above the limit nor needlessly below it")
		}
	})
}
