package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/subset"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// newLargePool returns the state of one of 200 VMs in two data centres, with a pool of 200
// targets.
func newLargePool(t *testing.T) *routingState {
	s := newTestState(newManualClock(0))
	var list []catalog.Target
	for i := range 200 {
		list = append(list, catalog.Target{ID: fmt.Sprint(i), Service: "s", Addr: "127.0.0.1:1", Slots: 2, DataCentre: []string{"a", "b"}[i%2]})
	}
	s.setTargets(1, list...)
	s.setPlace(fleetPlace{all: subset.Place{Index: 90, VMs: 200}, near: subset.Place{Index: 40, VMs: 100}})
	require.Less(t, len(s.pools["s"].subset.targets), 20)
	return s
}

func (s *routingState) reserveOne(t *testing.T) *attempt {
	a, reason := s.reserveFromPool("s", &route.Route{Name: "r"}, nil, time.Second, 0)
	require.Equal(t, notRefused, reason)
	return a
}

// Guards against a new connection for nearly every request in a large fleet.
func TestVMInLargeFleetUsesFewTargets(t *testing.T) {
	s := newLargePool(t)
	used := make(map[string]bool)
	for range 500 {
		a := s.reserveOne(t)
		used[a.id] = true
		s.finish(a, resultSucceeded)
	}
	require.Less(t, len(used), 20)
}

// Guards against refusals while targets outside of the VM's subset have free slots.
func TestWholePoolIsUsedOnceTheSubsetIsFull(t *testing.T) {
	s := newLargePool(t)
	for _, target := range s.pools["s"].subset.targets {
		target.pick.Others = 100
	}
	require.Zero(t, s.reserveOne(t).target.vmsUsing)
}

func TestSmallFleetUsesAllTargets(t *testing.T) {
	s := newTestState(newManualClock(0))
	for i := range 10 {
		s.setTargets(uint64(i+1), testTargets(i+1)...)
	}
	s.setPlace(fleetPlace{all: subset.Place{Index: 3, VMs: 8}, near: subset.Place{Index: 1, VMs: 2}})
	require.Len(t, s.pools["s"].subset.targets, 10)
}

func testTargets(n int) []catalog.Target {
	var list []catalog.Target
	for i := range n {
		list = append(list, catalog.Target{ID: fmt.Sprint(i), Service: "s", Addr: "127.0.0.1:1", Slots: 2, DataCentre: []string{"a", "b"}[i%2]})
	}
	return list
}

// Guards against load that remains at a target after its requests have ended.
func TestFinishedRequestsLeaveNoLoad(t *testing.T) {
	s := newLargePool(t)
	var sent []*attempt
	for range 30 {
		sent = append(sent, s.reserveOne(t))
	}
	require.NotEmpty(t, s.ownLoads())
	s.setPlace(fleetPlace{all: subset.Place{Index: 10, VMs: 150}, near: subset.Place{Index: 9, VMs: 70}})
	for _, a := range sent {
		s.finish(a, resultSucceeded)
	}
	s.setOtherLoads(nil)
	require.Empty(t, s.ownLoads())
	require.Empty(t, s.inUse)
	for _, target := range s.targets {
		require.Zero(t, target.pick.Load())
	}
}

func TestLoadsOfOtherVMsAreApplied(t *testing.T) {
	s := newLargePool(t)
	key := mesh.LoadKey(catalog.Hash("7"))
	s.setOtherLoads(map[uint32]int{key: 4})
	require.Equal(t, 4, s.targets["7"].pick.Others)
	s.setOtherLoads(map[uint32]int{key: 0})
	require.Zero(t, s.targets["7"].pick.Others)
}
