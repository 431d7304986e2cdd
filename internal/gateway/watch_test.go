package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/mesh"
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
