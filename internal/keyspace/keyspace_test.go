package keyspace

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDivideCoversTheSpaceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5000).Draw(t, "n")
		slices := Divide(n)
		require.Len(t, slices, n)
		require.Equal(t, Point(0), slices[0].First)
		for i := 1; i < n; i++ {
			require.Equal(t, slices[i-1].Last+1, slices[i].First)
		}
		require.Equal(t, ^Point(0), slices[n-1].Last)
	})
}

func TestSplitCoversTheSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		s := Slice{First: Point(min(a, b)), Last: Point(max(a, b))}
		low, high, ok := s.Split()
		require.Equal(t, a != b, ok)
		if ok {
			require.Equal(t, s.First, low.First)
			require.Equal(t, low.Last+1, high.First)
			require.Equal(t, s.Last, high.Last)
		}
	})
}
