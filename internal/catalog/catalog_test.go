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

// Guards against requests that are refused although all targets run: the entries
// of all targets expire during an outage of the store, and its list is empty when
// it is back.
func TestMissingEntriesAreKeptForAGracePeriodAfterAnOutage(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 5, List: []Target{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}}}, 0)
	m.MarkStoreDown()
	m.MarkStoreUp(10 * time.Second)
	m.Replace(Targets{Revision: 9}, 10*time.Second)
	require.Equal(t, []string{"a", "b"}, ids(m), "a draining target is removed at once")
	m.Put(Target{ID: "a", Revision: 10}, 10)
	require.False(t, m.Expire(11*time.Second))
	require.True(t, m.Expire(10*time.Second+removalGrace))
	require.Equal(t, []string{"a"}, ids(m), "an entry still missing after the grace period is removed")
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	m := NewTargetSet()
	m.Put(Target{ID: "a", Revision: 1}, 1)
	m.Remove("a", 2, time.Second)
	require.Empty(t, ids(m))
}

// Guards against a list that was requested before a change and undoes it.
func TestOlderEntriesAreIgnored(t *testing.T) {
	m := NewTargetSet()
	m.Put(Target{ID: "a", Draining: true, Revision: 7}, 7)
	m.Replace(Targets{Revision: 6, List: []Target{{ID: "a", Revision: 6}}}, 0)
	require.True(t, m.Snapshot().List[0].Draining)
	m.Put(Target{ID: "a", Revision: 6}, 6)
	require.True(t, m.Snapshot().List[0].Draining)
}

// Guards against requests to a target that has left, two seconds after all VMs but one had dropped
// it. That VM was without the store; when it reached it again, it deferred the removal as one that
// may result from the outage, and sent the old entry in a later list to the others. Within half
// a second nine VMs had added the target again, with the revision of its old entry.
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

// Guards against a removed target that is used again because of an older entry.
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
	require.Equal(t, []string{"a"}, ids(m), "a removal older than the entry is ignored")
}

// Guards against the same for a target that was not in the set when it was removed.
func TestRemovalOfAnUnknownTargetIsRemembered(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 5}, 0)
	m.Remove("a", 7, time.Second)
	m.Replace(Targets{Revision: 9, List: []Target{{ID: "a", Revision: 3}}}, time.Second)
	require.Empty(t, ids(m))
}

// Guards against VMs that rebuild their lists for each step of the warm-up time of cold targets.
func TestWarmupCountdownIsNoChange(t *testing.T) {
	m := NewTargetSet()
	m.Replace(Targets{Revision: 1, List: []Target{{ID: "a", Slots: 2, Revision: 1, WarmupLeft: 3 * time.Second}}}, 0)
	version := m.Version()
	m.Put(Target{ID: "a", Slots: 2, Revision: 2, WarmupLeft: 2 * time.Second}, 2)
	m.Put(Target{ID: "a", Slots: 2, Revision: 3}, 3)
	m.Replace(Targets{Revision: 4, List: []Target{{ID: "a", Slots: 2, Revision: 3}}}, 0)
	require.Equal(t, version, m.Version())
	require.EqualValues(t, 4, m.Revision())
	m.Put(Target{ID: "a", Slots: 2, Revision: 5, WarmupLeft: time.Second}, 5)
	require.NotEqual(t, version, m.Version(), "it has turned cold again")
	for _, change := range []func(){
		func() { m.Put(Target{ID: "a", Slots: 2, Draining: true, Revision: 6}, 6) },
		func() { m.Put(Target{ID: "b", Revision: 7}, 7) },
		func() { m.Remove("a", 8, 0) },
	} {
		version = m.Version()
		change()
		require.NotEqual(t, version, m.Version())
	}
}
