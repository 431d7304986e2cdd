package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// Guards against a VM that waits without end for a revision that only a VM which was lost since has announced.
func TestVMThatIsBehindReadsTheStoreOnce(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newPlay(t, 5)
		defer p.stop()
		time.Sleep(5 * time.Second)
		known := p.vms[0].state.view.Load().Targets.Revision
		p.store.put("members", "vm", struct{}{})
		lost := mesh.Heartbeat{From: mesh.Member{VM: "lost", Addr: "lost:1", Incarnation: 1}, TargetsRevision: known + 1}
		p.vms[4].receiveHeartbeat(lost)
		time.Sleep(2 * time.Second)
		require.False(t, p.vms[4].behind(p.vms[4].targetObjects()))
		require.Greater(t, p.vms[4].state.view.Load().Targets.Revision, known)
		calls := p.store.callCount()
		time.Sleep(10 * time.Second)
		require.Less(t, p.store.callCount()-calls, 120, "three watchers of three kinds for 10 s")
	})
}

// Guards against a confirmation passed on by a VM that has not got the change yet.
func TestConfirmationWithoutTheObjectsLeavesVMBehind(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	g.state.setConfig(&route.Config{Version: 4}, sourceStore)
	g.state.setTargets(7, catalog.Target{ID: "t"})
	g.listed.Store(true)
	b := mesh.Heartbeat{From: mesh.Member{VM: "vm", Addr: "127.0.0.1:1", Incarnation: 1}, ConfigVersion: 4, TargetsRevision: 7}
	b.ConfigMark.Count, b.ConfigMark.Version = 3, 5
	b.TargetsMark.Count, b.TargetsMark.Version = 3, 9
	g.receiveHeartbeat(b)
	clock.advance(storeFallbackDelay + time.Millisecond)
	require.True(t, g.behind(g.configObjects()))
	require.True(t, g.behind(g.targetObjects()))
}
