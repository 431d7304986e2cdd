package keyspread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

// applyDecisions carries out the decisions of several rounds and returns each owner's load
// afterwards, and the number of moves. A division makes two ranges of half the rate.
func applyDecisions(ranges []Range, capacity []float64, rounds int) (loads []float64, moved int) {
	for range rounds {
		d := Decide(ranges, capacity)
		for _, m := range d.Moves {
			ranges[m.Range].Owner = m.To
			moved++
		}
		for _, i := range d.Divide {
			half := ranges[i]
			half.Rate /= 2
			half.Divisible = half.Rate > 2
			ranges[i] = half
			ranges = append(ranges, half)
		}
	}
	loads = make([]float64, len(capacity))
	for _, r := range ranges {
		loads[r.Owner] += r.Rate / capacity[r.Owner]
	}
	return loads, moved
}

// Guards against an owner that stays overloaded when two of its ranges suddenly get two
// fifths of all requests, three times its capacity. After six decisions every owner
// must be below its capacity.
func TestAdjacentHotRangesAreSpread(t *testing.T) {
	const owners = 10
	capacity := make([]float64, owners)
	var ranges []Range
	for i := range owners {
		capacity[i] = 33
		for range 32 {
			ranges = append(ranges, Range{Owner: i, Rate: 120.0 / (owners * 32), Divisible: true})
		}
	}
	ranges[0].Rate, ranges[1].Rate = 45, 45
	loads, moved := applyDecisions(ranges, capacity, 6)
	for i, l := range loads {
		require.Less(t, l, 0.85, "owner %d", i)
	}
	require.Less(t, moved, 30)
}

// One key gets more requests than any owner can serve. It cannot be divided, so all other
// ranges must move away from its owner.
func TestKeyHotterThanItsOwnerIsAloneThere(t *testing.T) {
	capacity := []float64{30, 30, 30, 30}
	ranges := []Range{{Owner: 0, Rate: 40}}
	for range 8 {
		ranges = append(ranges, Range{Owner: 0, Rate: 3, Divisible: true})
	}
	for i := range 8 {
		ranges = append(ranges, Range{Owner: 1 + i%3, Rate: 2, Divisible: true})
	}
	loads, _ := applyDecisions(ranges, capacity, 6)
	for i, l := range loads {
		if i == ranges[0].Owner {
			require.InDelta(t, 40.0/30, l, 0.25)
			continue
		}
		require.Less(t, l, 0.8)
	}
}

// Guards against a key that moves every 0.6 s while it is hot, and is not served during
// each move. With twice the requests that the fastest owner can serve, its owner is full
// and measured as a fifth slower than an idle target. The key must move to a fast owner
// and stay there.
func TestKeyHotterThanAnyOwnerStays(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	ranges := []Range{{Owner: 0, Rate: 230}, {Owner: 1, Rate: 20}, {Owner: 2, Rate: 25}, {Owner: 3, Rate: 15}}
	moves := 0
	for range 40 {
		capacity := make([]float64, 4)
		for i, usual := range []float64{60, 120, 120, 120} {
			capacity[i] = usual * (0.95 + 0.1*draw.Float64())
		}
		capacity[ranges[0].Owner] *= 0.8
		for _, m := range Decide(ranges, capacity).Moves {
			if m.Range == 0 {
				moves++
			}
			ranges[m.Range].Owner = m.To
		}
	}
	require.NotZero(t, ranges[0].Owner, "the key is still at the slow owner")
	require.LessOrEqual(t, moves, 2)
}

// Guards against useless divisions after the loss of half of the targets, when all others are
// overloaded: no owner can take a half, and each range is renewed by a call of its own.
func TestNothingIsDividedWhereAllAreOverloaded(t *testing.T) {
	capacity := []float64{30, 30, 30, 30}
	var ranges []Range
	for i := range 16 {
		ranges = append(ranges, Range{Owner: i % 4, Rate: 12, Divisible: true})
	}
	require.Equal(t, Decision{}, Decide(ranges, capacity))
}

// Owners differ in speed; the slow one must get less load.
func TestSlowOwnerGetsLess(t *testing.T) {
	capacity := []float64{10, 40, 40}
	var ranges []Range
	for i := range 30 {
		ranges = append(ranges, Range{Owner: i % 3, Rate: 2, Divisible: true})
	}
	loads, _ := applyDecisions(ranges, capacity, 8)
	require.Less(t, loads[0], 0.85)
}

// Under moderate load no key may move, because callers wait during each move.
func TestNothingMovesWithoutNeed(t *testing.T) {
	capacity := []float64{30, 30, 30}
	ranges := []Range{{Owner: 0, Rate: 15, Divisible: true}, {Owner: 1, Rate: 3, Divisible: true}, {Owner: 2, Rate: 9, Divisible: true}}
	require.Equal(t, Decision{}, Decide(ranges, capacity))
}

func TestDecisionsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SliceOfN(rapid.Float64Range(5, 50), 2, 12).Draw(t, "capacity")
		var ranges []Range
		for range rapid.IntRange(1, 60).Draw(t, "ranges") {
			ranges = append(ranges, Range{
				Owner:     rapid.IntRange(0, len(capacity)-1).Draw(t, "owner"),
				Rate:      rapid.Float64Range(0, 20).Draw(t, "rate"),
				Divisible: true,
			})
		}
		for range 60 {
			d := Decide(ranges, capacity)
			if len(d.Moves)+len(d.Divide) == 0 {
				return
			}
			for _, m := range d.Moves {
				ranges[m.Range].Owner = m.To
			}
			for _, i := range d.Divide {
				half := ranges[i]
				half.Rate /= 2
				half.Divisible = half.Rate > 1
				ranges[i] = half
				ranges = append(ranges, half)
			}
		}
		require.Fail(t, "decisions do not settle within 60 rounds")
	})
}

func TestRatesDecayAndSplit(t *testing.T) {
	r := NewRates()
	r.Advance(time.Second)
	for key := uint16(100); key < 110; key++ {
		r.Add(key, 12)
	}
	r.Add(5, 1)
	sums := r.Sums([]uint16{0, 100, 200})
	require.Equal(t, 1, sums[0].Keys)
	require.Equal(t, 10, sums[1].Keys)
	require.InDelta(t, 100, sums[1].Rate, 1)
	require.Equal(t, uint16(104), sums[1].SplitAfter)
	require.Zero(t, sums[2].Keys)
	r.Advance(time.Second + decayTime)
	require.InDelta(t, 100/2.718, r.Sums([]uint16{0})[0].Rate, 1)
	r.Advance(time.Minute)
	require.Zero(t, r.Sums([]uint16{0})[0].Keys)
}

// A division must leave keys on both sides, also if one key has most of the load.
func TestSplitLeavesKeysOnBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRates()
		n := rapid.IntRange(2, 20).Draw(t, "keys")
		for key := range n {
			r.Add(uint16(key), rapid.IntRange(1, 100).Draw(t, "requests"))
		}
		half := r.Sums([]uint16{0})[0].SplitAfter
		require.Less(t, int(half), n-1)
	})
}
