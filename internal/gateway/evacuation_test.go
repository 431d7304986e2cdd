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
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	for range 10 {
		require.Equal(t, "p-b", s.targetOfPool(t))
	}
	s.setEvacuations(catalog.NewEvacuations(6, []string{"a", "b"}), nil, "test")
	require.Empty(t, s.targetOfPool(t), "refused rather than sent to an evacuated target")
	s.setEvacuations(catalog.NewEvacuations(7, []string{"b"}), nil, "test")
	require.Equal(t, "p-a", s.targetOfPool(t))
}

// Guards against requests to an owner in an evacuated data centre whose keys could not be moved in time.
func TestEvacuatedOwnerGetsRequestsOnlyWhileItsKeysMove(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTwoDataCentres(clock)
	s.setEvacuations(catalog.NewEvacuations(4, nil), nil, "test")
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	rt := &route.Route{Name: "r"}
	a, _, _ := s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.NotNil(t, a)
	clock.advance(evacuatedOwnerGrace + time.Millisecond)
	_, reason, _ := s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
	s.setEvacuations(catalog.NewEvacuations(6, nil), nil, "test")
	a, _, _ = s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second)
	require.NotNil(t, a)
}

// evacuated returns data centres that were evacuated a second ago.
func evacuated(dataCentres ...string) []mesh.Evacuation {
	var out []mesh.Evacuation
	for _, dc := range dataCentres {
		out = append(out, mesh.Evacuation{DataCentre: dc, AgeMs: 1000})
	}
	return out
}

// Guards against VMs without the store that use evacuated data centres, or take an old heartbeat for a new evacuation.
func TestEvacuationsSpreadByHeartbeats(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	peer := mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 1}
	g.receiveHeartbeat(mesh.Heartbeat{From: peer})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, EvacuationsRevision: 3})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, Brief: true, EvacuationsRevision: 7, Evacuated: evacuated("b", "a")})
	require.True(t, g.state.view.Load().Evacuations.Contains("a"))
	require.Equal(t, evacuated("a", "b"), g.Heartbeat().Evacuated)
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, EvacuationsRevision: 9, Evacuated: evacuated("b")})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, EvacuationsRevision: 7, Evacuated: evacuated("b", "a")})
	require.False(t, g.state.view.Load().Evacuations.Contains("a"))
	require.EqualValues(t, 9, g.Heartbeat().EvacuationsRevision)
}

// Guards against an old list that is applied because later ones, which changed nothing, left the revision unchanged.
func TestRevisionOfEvacuationsIncreasesWithoutChange(t *testing.T) {
	s := newTwoDataCentres(newManualClock(time.Hour))
	s.setEvacuations(catalog.NewEvacuations(5, nil), nil, "test")
	s.setEvacuations(catalog.NewEvacuations(9, nil), nil, "test")
	s.setEvacuations(catalog.NewEvacuations(7, []string{"a"}), nil, "test")
	require.False(t, s.view.Load().Evacuations.Contains("a"))
	require.EqualValues(t, 9, s.view.Load().Evacuations.Revision)
}

// Guards against a VM that starts during an evacuation and sends requests to owners that were long evacuated.
func TestStartingVMSendsNothingToEvacuatedOwners(t *testing.T) {
	s := newTwoDataCentres(newManualClock(time.Hour))
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	_, reason, _ := s.reserveOwner("keyed", &route.Route{Name: "r"}, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
}

// Guards against a draining owner that gets requests again because its data centre is evacuated as well.
func TestEvacuationDoesNotExtendDraining(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTwoDataCentres(clock)
	s.setEvacuations(catalog.NewEvacuations(4, nil), nil, "test")
	s.setTargets(2, catalog.Target{ID: "k-a", Service: "keyed", Addr: "127.0.0.1:1", Slots: 2, DataCentre: "a", Born: 1, Draining: true})
	clock.advance(drainingOwnerGrace + time.Millisecond)
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	_, reason, _ := s.reserveOwner("keyed", &route.Route{Name: "r"}, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
}

// Guards against a target that is listed anew during an evacuation, or right after one, and counts as untouched by it.
func TestTargetListedAnewSharesTheStateOfItsDataCentre(t *testing.T) {
	f := newColdFleet(1)
	s := f.vms[0]
	listed := s.view.Load().Targets.List
	s.setEvacuations(catalog.NewEvacuations(4, nil), nil, "test")
	s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	f.clock.advance(evacuatedOwnerGrace)
	s.setTargets(10)
	s.setTargets(11, listed...)
	_, reason, _ := s.reserveOwner("keyed", &route.Route{Name: "r"}, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
	s.setTargets(12)
	s.setEvacuations(catalog.NewEvacuations(6, nil), nil, "test")
	f.clock.advance(time.Second)
	s.setTargets(13, listed...)
	require.True(t, s.isWarming("k"))
	f.clock.advance(2 * time.Second)
	require.False(t, s.isWarming("k"))
}

// Guards against a VM that was cut off during a whole evacuation and takes the targets, which turned cold, for warm.
func TestVMThatMissedAnEvacuationLearnsOfItsEnd(t *testing.T) {
	f := newColdFleet(3)
	f.vms[0].setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
	f.vms[0].setEvacuations(catalog.NewEvacuations(6, nil), nil, "test")
	f.clock.advance(time.Second)
	for range 100 {
		f.vms[1].recordReturns(f.vms[0].recentReturnsLocked())
		f.vms[2].recordReturns(f.vms[1].recentReturnsLocked())
		f.vms[0].recordReturns(f.vms[2].recentReturnsLocked())
		f.clock.advance(10 * time.Millisecond)
	}
	for _, s := range f.vms {
		require.True(t, s.isWarming("p"))
	}
	f.clock.advance(time.Second)
	for _, s := range f.vms {
		require.False(t, s.isWarming("p"), "heartbeats in a circle do not prolong the warm-up")
	}
	f.clock.advance(maxReturnAge)
	require.Empty(t, f.vms[2].recentReturnsLocked())
}

// Guards against returns of data centres that heartbeats do not carry, or not in brief form.
func TestReturnsAreInHeartbeats(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	peer := mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 1}
	g.receiveHeartbeat(mesh.Heartbeat{From: peer})
	g.receiveHeartbeat(mesh.Heartbeat{From: peer, Brief: true, Returns: []mesh.Return{{DataCentre: "a", Revision: 7, AgeMs: 500}}})
	clock.advance(time.Second)
	require.Equal(t, []mesh.Return{{DataCentre: "a", Revision: 7, AgeMs: 1500}}, g.Heartbeat().Returns)
}

// Guards against a VM that learns late of an evacuation and lets owners there have requests for as long as one that learned early.
func TestGraceOfEvacuatedOwnersCountsFromTheFirstVM(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTwoDataCentres(clock)
	s.setEvacuations(catalog.NewEvacuations(4, nil), nil, "test")
	s.applyPeerEvacuations(mesh.Heartbeat{EvacuationsRevision: 5, Evacuated: evacuated("a")})
	reserve := func() refusal {
		_, reason, _ := s.reserveOwner("keyed", &route.Route{Name: "r"}, 1, mesh.LeaseVersion{}, time.Second)
		return reason
	}
	require.Equal(t, notRefused, reserve())
	clock.advance(evacuatedOwnerGrace - time.Second)
	require.Equal(t, refusedLost, reserve())
}
