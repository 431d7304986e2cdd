package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/packed"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/route"
)

// newPeerGateway returns a gateway that other VMs can call.
func newPeerGateway(t *testing.T, name string, mbps float64) *Gateway {
	s := &Settings{Store: "127.0.0.1:1", LinkMbps: mbps, MemoryMB: defaultMemoryMB}
	server, err := peer.Listen("127.0.0.1:0")
	require.NoError(t, err)
	s.VM, s.DataCentre, s.Peers = name, "a", server.Addr()
	g := newGateway(s, fakeAdapter{store: unavailableStore{}}, boottime.System{}, discardLogger(), metrics.NewRegistry())
	g.mesh.Start(g)
	g.peers = server
	require.NoError(t, g.registerServices())
	go server.Serve()
	t.Cleanup(func() {
		g.cancel()
		g.mesh.Close()
		server.Close()
	})
	return g
}

// largeConfig returns a configuration whose names are as diverse as those that operators choose.
func largeConfig(version uint64, routes int) *route.Config {
	draw := rand.New(rand.NewPCG(1, 2))
	word := func() string { return strconv.FormatUint(uint64(draw.Uint32()), 36) }
	c := &route.Config{Version: version, Services: map[string]route.Service{"s": {Name: "s"}}}
	for i := range routes {
		c.Routes = append(c.Routes, route.Route{
			Name: "r-" + word(), Host: word() + ".example", Prefix: "/" + word() + "/" + word() + "/",
			Idempotent: i%2 == 0, Timeout: 4 * time.Second, Objective: 2 * time.Second, MaxTargets: 3,
			Splits: []route.Split{{Service: "s", Weight: 1}},
		})
	}
	return c
}

// eventually waits until heartbeats have led to the wanted state.
func eventually(t *testing.T, reached func() bool) {
	t.Helper()
	require.Eventually(t, reached, 10*time.Second, time.Millisecond)
}

func (g *Gateway) configVersion() uint64 { return g.state.view.Load().ConfigVersion() }

func TestConfigIsFetchedFromAnotherVM(t *testing.T) {
	a, b := newPeerGateway(t, "a", 0), newPeerGateway(t, "b", 0)
	want := largeConfig(7, 1560)
	a.state.setConfig(want, sourceStore)
	b.mesh.Add(a.self)
	eventually(t, func() bool { return b.configVersion() == 7 })
	require.Equal(t, want, b.state.view.Load().Routes.Config())
}

// Guards against a configuration with many routes that uses up the links between VMs.
func TestPackedConfigIsSmall(t *testing.T) {
	data, err := packed.Encode(largeConfig(7, 1560))
	require.NoError(t, err)
	require.Less(t, len(data), 60_000, "bytes: 50 ms at 10 Mbit/s")
}

func TestTargetsAreFetchedFromAnotherVM(t *testing.T) {
	a, b := newPeerGateway(t, "a", 0), newPeerGateway(t, "b", 0)
	same := func() bool {
		return assert.ObjectsAreEqual(a.state.view.Load().Targets, b.state.view.Load().Targets)
	}
	a.state.setTargets(5, catalog.Target{ID: "t", Service: "s"}, catalog.Target{ID: "u", Service: "s"})
	b.mesh.Add(a.self)
	eventually(t, same)

	a.state.updateTargets(sourceStore, func(m *catalog.TargetSet, now time.Duration) {
		m.Remove("t", 6, now)
		m.Put(catalog.Target{ID: "v", Service: "s", Revision: 7}, 7)
	})
	var reply FetchReply
	require.NoError(t, View{a}.TargetsSince(&FetchArgs{Requester: "b", HaveVersion: 5}, &reply))
	require.NotNil(t, reply.Changes, "only the changes are sent")
	require.Empty(t, reply.Data)
	eventually(t, same)
}

// Guards against a VM that sends a large value to all VMs that ask at the same time and so
// overloads its link.
func TestBusyVMRefersToOtherHolders(t *testing.T) {
	g := newPeerGateway(t, "a", 10)
	g.state.setConfig(largeConfig(7, 10), sourceStore)
	g.transfers.limiter.SetLimit(0)
	ask := func(from string) FetchReply {
		var reply FetchReply
		require.NoError(t, View{g}.ConfigVersion(&FetchArgs{Requester: from, HaveVersion: 1}, &reply))
		return reply
	}
	require.NotEmpty(t, ask("b").Data)
	for g.transfers.allow(1) {
	}
	busy := ask("c")
	require.True(t, busy.Busy)
	require.Empty(t, busy.Data)
	require.Equal(t, []string{"b"}, busy.Holders)
}

// Guards against a configuration that is delayed because all VMs wait for one VM with a busy link.
func TestVMsFetchFromOtherHolders(t *testing.T) {
	gateways := []*Gateway{newPeerGateway(t, "a", 10)}
	gateways[0].state.setConfig(largeConfig(7, 10), sourceStore)
	for _, name := range []string{"b", "c", "d", "e"} {
		g := newPeerGateway(t, name, 0)
		for _, other := range gateways {
			g.mesh.Add(other.self)
		}
		eventually(t, func() bool { return g.configVersion() == 7 })
		gateways[0].transfers.limiter.SetLimit(0)
		for gateways[0].transfers.allow(1) {
		}
		gateways = append(gateways, g)
	}
}

// Guards against announcements by every VM that received a version from another one.
func TestOnlyVMsThatReadTheStoreAnnounceConfig(t *testing.T) {
	s := newTestState(newManualClock(0))
	announced := 0
	s.announce = func() { announced++ }
	s.setConfig(&route.Config{Version: 2}, "vm")
	s.setTargets(1, catalog.Target{ID: "t"})
	require.Zero(t, announced)
	s.setConfig(&route.Config{Version: 3}, sourceStore)
	require.Equal(t, 1, announced)
}

// Guards against a fetch that waits for a VM which became unreachable after its announcement.
func TestFetchTriesOtherVMsThatAnnounceTheVersion(t *testing.T) {
	a, b := newPeerGateway(t, "a", 0), newPeerGateway(t, "b", 0)
	a.state.setConfig(largeConfig(7, 10), sourceStore)
	begun, ended := make(chan struct{}), make(chan error, 1)
	b.fetch("cut off", "config", func(ctx context.Context, from *fetchSources) error {
		close(begun)
		err := b.fetchConfig(ctx, from)
		ended <- err
		return err
	})
	<-begun
	b.mesh.Add(a.self)
	require.NoError(t, <-ended)
	require.EqualValues(t, 7, b.configVersion())
}
