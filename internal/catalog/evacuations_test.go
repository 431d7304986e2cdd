package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an old change that evacuates a data centre again after it was taken back.
func TestLateChangesOfEvacuationsAreIgnored(t *testing.T) {
	e := NewEvacuations(10, []string{"b", "a"})
	require.True(t, e.Contains("a"))
	e = e.With("a", false, 12)
	require.False(t, e.Contains("a"))
	require.Equal(t, e, e.With("a", true, 11))
	require.Equal(t, e, e.With("a", true, 12))
	require.True(t, e.Contains("b"))
}

func TestEvacuationsFollowEachChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, want := NewEvacuations(1, nil), make(map[string]bool)
		for revision := range rapid.Uint64Range(1, 20).Draw(t, "changes") {
			dc, on := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"), rapid.Bool().Draw(t, "on")
			e, want[dc] = e.With(dc, on, revision+2), on
			for dc, on := range want {
				require.Equal(t, on, e.Contains(dc))
			}
		}
	})
}
