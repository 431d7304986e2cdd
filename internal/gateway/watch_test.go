package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/mesh"
)

// Guards against a grantor on a slow link while others have fast ones.
func TestVMsWithMuchFasterLinksComeFirstForDuties(t *testing.T) {
	place := func(own float64, others ...uint32) int {
		n := testGatewayWithLink(newHandClock(time.Hour), own)
		defer n.mesh.Close()
		for i, link := range others {
			n.receive(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1, LinkMbps: link}})
		}
		return n.place("s", n.mesh.ReachesStore)
	}
	require.Zero(t, place(200, 10, 10, 10, 10, 10, 10))
	require.Equal(t, 6, place(10, 200, 200, 200, 200, 200, 200))
	require.Equal(t, place(0, 0, 0, 0), place(1000, 1000, 1000, 1000))
	require.Equal(t, place(900, 900, 900, 900), place(900, 1000, 1000, 1000), "small differences change nothing")
}

// Guards against VMs that all try to become the grantor at the same moment.
func TestVMsHaveTheirOwnPlacesWhileNobodyReachesTheStore(t *testing.T) {
	taken := make(map[int]bool)
	for i := range 5 {
		n := testGatewayNamed(newHandClock(time.Hour), fmt.Sprintf("vm-%d", i), 0)
		defer n.mesh.Close()
		for j := range 5 {
			if j != i {
				n.receive(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", j), Addr: "127.0.0.1:1", Incarnation: 1}, StoreLost: true})
			}
		}
		taken[n.leasePlace("s")] = true
	}
	require.Len(t, taken, 5)
}

// Guards against VMs that all stop, and all try to become the grantor at the same moment.
func TestVMsThatLeaveHaveTheirOwnPlacesInASuccession(t *testing.T) {
	taken := make(map[int]bool)
	for i := range 5 {
		n := testGatewayNamed(newHandClock(time.Hour), fmt.Sprintf("vm-%d", i), 0)
		defer n.mesh.Close()
		n.leaving.Store(true)
		for j := range 8 {
			if j != i {
				n.receive(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", j), Addr: "127.0.0.1:1", Incarnation: 1}, Leaving: j < 5})
			}
		}
		require.Equal(t, 3, n.mesh.NonLeavingPeers())
		taken[n.leasePlace("s")] = true
	}
	require.Len(t, taken, 5)
	require.Contains(t, taken, 0)
	require.Contains(t, taken, 4)
}
