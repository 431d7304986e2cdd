package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// listedDirectory is a directory of the targets of a service, some of which refuse requests.
type listedDirectory struct {
	emptyDirectory
	targets  []catalog.Target
	refusing map[string]bool
}

func (d *listedDirectory) View() *catalog.View {
	return catalog.NewView(nil, catalog.Targets{List: d.targets}, catalog.Evacuations{})
}

func (d *listedDirectory) Refusing(target string) bool { return d.refusing[target] }

// newStandbyLeader returns the grantor of twelve slices of three owners. The store is away, but the record names standbys.
func newStandbyLeader(t *testing.T) (*leader, *listedDirectory, *manualClock) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	t.Cleanup(n.mesh.Close)
	directory := &listedDirectory{refusing: make(map[string]bool)}
	var live []lease.Owner
	for _, id := range []string{"a", "b", "c"} {
		directory.targets = append(directory.targets, catalog.Target{ID: id, Service: "s", DataCentre: id, Born: 1})
		live = append(live, lease.Owner{ID: id, Born: 1})
	}
	n.TargetDirectory = directory
	l := loadedLeader(n, clock, live, 12)
	l.grants.Commit(l.grants.PlanStandbys(clock.Now(), nil, l.standbyChooser(clock.Now())), clock.Now())
	n.storeUp.Store(false)
	return l, directory, clock
}

// owners returns the number of slices by owner.
func (l *leader) owners() map[string]int {
	out := make(map[string]int)
	for _, s := range l.grants.Record().Slices {
		out[s.Owner.ID]++
	}
	return out
}

// Guards against keys that stay with an owner that leaves because the record cannot be written.
func TestKeysLeaveALeavingOwnerWhileTheStoreIsAway(t *testing.T) {
	l, directory, clock := newStandbyLeader(t)
	l.moveToStandbys(clock.Now())
	require.Equal(t, map[string]int{"a": 4, "b": 4, "c": 4}, l.owners())
	directory.targets[1].Leaving = true
	clock.advance(planInterval)
	l.moveToStandbys(clock.Now())
	require.Zero(t, l.owners()["b"])
	require.Equal(t, 12, l.owners()["c"]+l.owners()["a"])
	for _, o := range l.grants.DueOrders(clock.Now()) {
		if o.Kind == lease.Release {
			require.Equal(t, "b", o.Target.ID)
		}
	}
	require.True(t, l.grants.Unwritten(), "written once the store is back")
}

// Guards against keys that stay with an owner that refuses requests because the record cannot be written.
func TestKeysLeaveARefusingOwnerWhileTheStoreIsAway(t *testing.T) {
	l, directory, clock := newStandbyLeader(t)
	directory.refusing["b"] = true
	clock.advance(spreadInterval)
	l.moveToStandbys(clock.Now())
	require.Zero(t, l.owners()["b"])
}

// Guards against a standby that is lost with the data centre of the grantor, that refuses requests, or that is its own owner.
func TestStandbysAreFitAndInAnotherDataCentreThanTheGrantor(t *testing.T) {
	l, directory, clock := newStandbyLeader(t)
	for _, s := range l.grants.Record().Slices {
		require.NotEqual(t, "a", s.Standby.ID, "the grantor is there")
		require.NotEqual(t, s.Owner.ID, s.Standby.ID)
	}
	require.False(t, l.needsStandbys(clock.Now()))
	directory.refusing["b"] = true
	choose := l.standbyChooser(clock.Now())
	for _, s := range l.grants.Record().Slices {
		if s.Owner.ID != "c" {
			require.Equal(t, "c", choose(s).ID)
		}
	}
	clock.advance(standbyWriteInterval)
	require.True(t, l.needsStandbys(clock.Now()))
	old := mesh.Member{VM: "old", Addr: "127.0.0.1:2", Incarnation: 1}
	l.Mesh.(*mesh.Mesh).Add(old)
	var reply mesh.Heartbeat
	require.NoError(t, mesh.Service{Mesh: l.Mesh.(*mesh.Mesh)}.Heartbeat(&mesh.Heartbeat{From: old}, &reply))
	require.Equal(t, lease.Owner{}, l.standbyChooser(clock.Now())(l.grants.Record().Slices[0]), "a VM of an earlier version may take over")
}
