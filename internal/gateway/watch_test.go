package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
)

// Guards against a grantor on a slow link while other VMs have fast ones.
func TestVMsWithFasterLinksHaveLowerPlaces(t *testing.T) {
	place := func(own float64, others ...uint32) int {
		g := newTestGatewayWithLink(newManualClock(time.Hour), own)
		defer g.mesh.Close()
		for i, link := range others {
			g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1, LinkMbps: link}})
		}
		return g.place("s", g.mesh.ReachesStore)
	}
	require.Zero(t, place(200, 10, 10, 10, 10, 10, 10))
	require.Equal(t, 6, place(10, 200, 200, 200, 200, 200, 200))
	require.Equal(t, place(0, 0, 0, 0), place(1000, 1000, 1000, 1000))
	require.Equal(t, place(900, 900, 900, 900), place(900, 1000, 1000, 1000), "small differences are ignored")
}

// Guards against VMs that all try to become the grantor at the same time while none reaches the
// store.
func TestPlacesAreDistinctWhileNoVMReachesTheStore(t *testing.T) {
	places := make(map[int]bool)
	for i := range 5 {
		g := newTestGatewayNamed(newManualClock(time.Hour), fmt.Sprintf("vm-%d", i), 0)
		defer g.mesh.Close()
		for j := range 5 {
			if j != i {
				g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", j), Addr: "127.0.0.1:1", Incarnation: 1}, StoreLost: true})
			}
		}
		places[g.successionPlace("s")] = true
	}
	require.Len(t, places, 5)
}

// Guards against VMs that all try to become the grantor at the same time while all of them shut
// down.
func TestLeavingVMsHaveDistinctSuccessionPlaces(t *testing.T) {
	places := make(map[int]bool)
	for i := range 5 {
		g := newTestGatewayNamed(newManualClock(time.Hour), fmt.Sprintf("vm-%d", i), 0)
		defer g.mesh.Close()
		g.leaving.Store(true)
		for j := range 8 {
			if j != i {
				g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", j), Addr: "127.0.0.1:1", Incarnation: 1}, Leaving: j < 5})
			}
		}
		require.Equal(t, 3, g.mesh.NonLeavingPeers())
		places[g.successionPlace("s")] = true
	}
	require.Len(t, places, 5)
	require.Contains(t, places, 0)
	require.Contains(t, places, 4)
}

// Guards against VMs that go on calling a store which turns them away, although others watch it for them.
func TestVMTurnedAwayByTheStoreRarelyCallsItWhileOthersWatch(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	g.storeUp.Store(false)
	kinds := func() (watched int) {
		for _, kind := range []model.Kind{g.adapter.ConfigID().Kind, g.adapter.TargetKind(), g.adapter.EvacuationKind()} {
			if g.shouldWatch(kind) {
				watched++
			}
		}
		return watched
	}
	require.Equal(t, 3, kinds())
	require.Zero(t, g.minRetryPause(), "no other VM reaches the store")
	for i := range watcherCount {
		g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
	}
	require.Equal(t, 1, kinds(), "it must notice at some time that the store answers again")
	require.Equal(t, idleRetryPause, g.minRetryPause())
	g.state.setOwner("keyed", 1, 1, "k", lease.Served)
	held := *g.state.leases.Get("keyed")
	held.Holder, held.Seq = g.self.VM, 2
	g.state.leases.Set(&held)
	require.Equal(t, 3, kinds(), "a grantor must notice early")
	require.Zero(t, g.minRetryPause())
}
