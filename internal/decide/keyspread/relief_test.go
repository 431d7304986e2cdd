package keyspread

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// relieved returns ranges of six owners, of which the first takes a quarter of what it gets.
func relieved() (ranges []Range, capacity []float64, relieve []bool) {
	capacity, relieve = []float64{3, 22, 22, 22, 22, 22}, make([]bool, 6)
	relieve[0] = true
	for owner := range capacity {
		for i := range 8 {
			rate := 0.5
			if i == 0 {
				rate = 8
			}
			ranges = append(ranges, Range{Owner: owner, Rate: rate, Divisible: true})
		}
	}
	return ranges, capacity, relieve
}

// Guards against an owner that asks for relief and keeps its keys, or gets them back at once.
func TestOwnerThatMustBeRelievedGivesUpItsHottestRangesWhole(t *testing.T) {
	ranges, capacity, relieve := relieved()
	d := DecideRelieving(ranges, capacity, relieve)
	require.NotEmpty(t, d.Moves)
	require.Equal(t, 0, d.Moves[0].Range, "the hottest range goes first")
	for range 6 {
		for _, m := range d.Moves {
			require.NotZero(t, m.To, "a range moves to the owner that must be relieved")
			ranges[m.Range].Owner = m.To
		}
		d = DecideRelieving(ranges, capacity, relieve)
	}
	require.Empty(t, d.Moves, "decisions do not settle")
	loads := Loads(ranges, capacity)
	require.Less(t, loads[0], 0.85)
	for owner, l := range loads[1:] {
		require.Less(t, l, 1.0, "owner %d is overrun in turn", owner+1)
	}
}
