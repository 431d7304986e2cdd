package catalog

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

// Guards against a VM that applies changes and arrives at a different list than their source.
func TestChangesLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := NewTargetSet(), NewTargetSet()
		first := Targets{Revision: 10, List: []Target{{ID: "t0", Revision: 3}, {ID: "t1", Revision: 9}}}
		source.Replace(first, 0)
		follower.Replace(first, 0)
		revision, known := uint64(10), uint64(10)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "target"))
			revision++
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				source.Remove(id, revision, 0)
			case 1:
				c, ok := source.ChangesSince(known)
				require.True(t, ok)
				follower.Apply(c, 0)
				require.Equal(t, source.Snapshot(), follower.Snapshot())
				known = c.Revision
			default:
				source.Put(Target{ID: id, Revision: revision, Draining: rapid.Bool().Draw(t, "draining")}, revision)
			}
		}
	})
}

// Guards against a VM that keeps a removed target because the tombstone was dropped at the source.
func TestIncompleteChangesAreNotReturned(t *testing.T) {
	m := NewTargetSet()
	_, ok := m.ChangesSince(0)
	require.False(t, ok, "no list yet")
	m.Replace(Targets{Revision: 10}, 0)
	_, ok = m.ChangesSince(9)
	require.False(t, ok, "before the first list")
	_, ok = m.ChangesSince(11)
	require.False(t, ok, "later than the list")
	for i := range maxTombstones + 1 {
		m.Remove(fmt.Sprint(i), uint64(11+i), 0)
	}
	_, ok = m.ChangesSince(10)
	require.False(t, ok, "a tombstone was dropped")
	c, ok := m.ChangesSince(11)
	require.True(t, ok)
	require.Len(t, c.Removed, maxTombstones)
}
