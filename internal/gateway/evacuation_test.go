package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// newTwoDataCentres returns a state with a target of each service in the data centres a and b.
func newTwoDataCentres(clock *manualClock) *routingState {
	s := newTestState(clock)
	s.setTargets(1,
		catalog.Target{ID: "p-a", Service: "pool", Addr: "127.0.0.1:1", Slots: 2, DataCentre: "a", Born: 1},
		catalog.Target{ID: "p-b", Service: "pool", Addr: "127.0.0.1:1", Slots: 2, DataCentre: "b", Born: 1},
		catalog.Target{ID: "k-a", Service: "keyed", Addr: "127.0.0.1:1", Slots: 2, DataCentre: "a", Born: 1})
	s.setOwner("keyed", 1, 1, "k-a", lease.Served)
	return s
}

func (s *routingState) targetOfPool(t *testing.T) string {
	a, reason := s.reserveFromPool("pool", &route.Route{Name: "r"}, nil, time.Second, s.clock.Now())
	if a == nil {
		require.Equal(t, refusedNoTarget, reason)
		return ""
	}
	s.finish(a, resultAbandoned)
	return a.id
}

// Guards against requests of a pool to targets in a data centre that operators have evacuated.
func TestEvacuatedTargetsOfPoolGetNoRequests(t *testing.T) {
	s := newTwoDataCentres(newManualClock(time.Hour))
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), "test")
	for range 10 {
		require.Equal(t, "p-b", s.targetOfPool(t))
	}
	s.setEvacuations(catalog.NewEvacuations(6, []string{"a", "b"}), "test")
	require.Empty(t, s.targetOfPool(t), "refused rather than sent to an evacuated target")
	s.setEvacuations(catalog.NewEvacuations(7, []string{"b"}), "test")
	require.Equal(t, "p-a", s.targetOfPool(t))
}

// Guards against requests to an owner in an evacuated data centre whose keys could not be moved in time.
func TestEvacuatedOwnerGetsRequestsOnlyWhileItsKeysMove(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTwoDataCentres(clock)
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), "test")
	rt := &route.Route{Name: "r"}
	a, _, _ := s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.NotNil(t, a)
	clock.advance(evacuatedOwnerGrace + time.Millisecond)
	_, reason, _ := s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
	s.setEvacuations(catalog.NewEvacuations(6, nil), "test")
	a, _, _ = s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.NotNil(t, a)
}

// Guards against a VM that neither watches the store nor reaches it and goes on using an evacuated data
// centre, or one that was taken back and is evacuated again by an old heartbeat.
func TestEvacuationsSpreadByHeartbeats(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	peer := mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 1}
	g.receiveHeartbeat(mesh.Heartbeat{From: peer})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, Brief: true, EvacuationsRevision: 7, Evacuated: []string{"b", "a"}})
	require.True(t, g.state.view.Load().Evacuations.Contains("a"))
	require.Equal(t, []string{"a", "b"}, g.Heartbeat().Evacuated)
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, EvacuationsRevision: 9, Evacuated: []string{"b"}})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, EvacuationsRevision: 7, Evacuated: []string{"b", "a"}})
	require.False(t, g.state.view.Load().Evacuations.Contains("a"))
	require.EqualValues(t, 9, g.Heartbeat().EvacuationsRevision)
}

// Guards against an old list that is applied because the same data centres were evacuated at both of the
// revisions that the VM knows.
func TestRevisionOfEvacuationsIncreasesWithoutChange(t *testing.T) {
	s := newTwoDataCentres(newManualClock(time.Hour))
	s.setEvacuations(catalog.NewEvacuations(5, nil), "test")
	s.setEvacuations(catalog.NewEvacuations(9, nil), "test")
	s.setEvacuations(catalog.NewEvacuations(7, []string{"a"}), "test")
	require.False(t, s.view.Load().Evacuations.Contains("a"))
	require.EqualValues(t, 9, s.view.Load().Evacuations.Revision)
}
