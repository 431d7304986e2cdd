package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ids(m *TargetSet) []string {
	var out []string
	for _, t := range m.Snapshot().List {
		out = append(out, t.ID)
	}
	return out
}

// The store is away for seconds and the entries of all targets lapse. When it is
// back its list is empty. Callers would be refused although every target runs.
func TestMissingEntriesAreKeptForAGracePeriodAfterAnOutage(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 5, List: []Target{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}}}, 0)
	m.MarkStoreDown()
	m.MarkStoreUp(10 * time.Second)
	m.Replace(Targets{Revision: 9}, 10*time.Second)
	require.Equal(t, []string{"a", "b"}, ids(m), "a target that was leaving stays out")
	m.Put(Target{ID: "a", Revision: 10}, 10)
	require.False(t, m.Expire(11*time.Second))
	require.True(t, m.Expire(10*time.Second+removalGrace))
	require.Equal(t, []string{"a"}, ids(m), "an entry that is still missing is gone")
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	m := NewTargetSet()
	m.Put(Target{ID: "a", Revision: 1}, 1)
	m.Remove("a", 2, time.Second)
	require.Empty(t, ids(m))
}

// A list that was asked for before a change must not undo the change.
func TestOlderEntriesAreIgnored(t *testing.T) {
	m := NewTargetSet()
	m.Put(Target{ID: "a", Draining: true, Revision: 7}, 7)
	m.Replace(Targets{Revision: 6, List: []Target{{ID: "a", Revision: 6}}}, 0)
	require.True(t, m.Snapshot().List[0].Draining)
	m.Put(Target{ID: "a", Revision: 6}, 6)
	require.True(t, m.Snapshot().List[0].Draining)
}

// Callers got answers of a target that had left two seconds before. All VMs had dropped it at
// once, but for a slow one that was without the store. When that one had the store again, its
// list no longer named the target; it kept it, as it keeps what may have lapsed in an outage,
// and sent it with the later list to the others, who applied it again.
//
// Evidence: within half a second after the slow VM regained the store, nine VMs logged the target
// as known again, with the revision of its old entry and that VM as the source.
func TestEntriesKeptByOneVMAfterItsOutageDoNotReappearOnOthers(t *testing.T) {
	a := Target{ID: "a", Revision: 3}
	others, slow := NewTargetSet(), NewTargetSet()
	for _, m := range []*TargetSet{others, slow} {
		m.Replace(Targets{Revision: 5, List: []Target{a}}, 0)
	}
	slow.MarkStoreDown()
	others.Remove("a", 7, time.Second)
	slow.MarkStoreUp(2 * time.Second)
	slow.Replace(Targets{Revision: 9}, 2*time.Second)
	others.Replace(slow.Snapshot(), 2*time.Second)
	require.Empty(t, ids(others))
}

// Guards against a removed target that an older entry puts in use again.
func TestRemovedTargetReappearsOnlyWithALaterEntry(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 5, List: []Target{{ID: "a", Revision: 3}}}, 0)
	m.Remove("a", 7, 0)
	m.Replace(Targets{Revision: 8, List: []Target{{ID: "a", Revision: 3}}}, 0)
	m.Put(Target{ID: "a", Revision: 7}, 8)
	require.Empty(t, ids(m))
	m.Put(Target{ID: "a", Revision: 9}, 9)
	require.Equal(t, []string{"a"}, ids(m))
	m.Remove("a", 8, 0)
	require.Equal(t, []string{"a"}, ids(m), "the removal is older than the entry")
}

// Guards against the same for a target that this VM never listed.
func TestRemovalOfAnUnknownTargetIsRemembered(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 5}, 0)
	m.Remove("a", 7, time.Second)
	m.Replace(Targets{Revision: 9, List: []Target{{ID: "a", Revision: 3}}}, time.Second)
	require.Empty(t, ids(m))
}
