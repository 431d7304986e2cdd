package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/platform"
)

func TestLeasingAdapterReflectsGatewayState(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	deps := g.leasing.Deps
	require.True(t, deps.LocalState.StoreUp())
	g.recordStoreResult(clock.Now(), platform.ErrUnavailable)
	require.False(t, deps.LocalState.StoreUp())
	require.False(t, deps.LocalState.TargetsListed())
	g.listed.Store(true)
	require.True(t, deps.LocalState.TargetsListed())
	require.False(t, deps.LocalState.Leaving())
	g.leaving.Store(true)
	require.True(t, deps.LocalState.Leaving())
	require.NotEqual(t, deps.LocalState.WriteID(), deps.LocalState.WriteID())

	require.Zero(t, deps.TargetDirectory.Slots("t"))
	g.state.setTargets(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	require.Equal(t, 2, deps.TargetDirectory.Slots("t"))
	require.NotNil(t, deps.TargetDirectory.View().ByID["t"])
	_, known := deps.TargetDirectory.MeanServiceTime("s")
	require.False(t, known)
	for range 100 {
		g.state.recordDurationLocked("s", "r", 30*time.Millisecond)
	}
	usual, known := deps.TargetDirectory.MeanServiceTime("s")
	require.True(t, known)
	require.InDelta(t, 30*time.Millisecond, usual, float64(time.Millisecond))
	require.Empty(t, deps.TargetDirectory.TakeKeyLoad("s").Targets, "a target that has not answered is not reported")
	g.state.targets["t"].pick.Answered(60*time.Millisecond, 30*time.Millisecond, 1)
	load := deps.TargetDirectory.TakeKeyLoad("s")
	require.Equal(t, []uint32{catalog.Hash("t")}, load.Targets)
	require.InDelta(t, 200, load.Slowness[0], 1)
	require.Equal(t, []uint8{1}, load.Answers)
	require.Empty(t, deps.TargetDirectory.TakeKeyLoad("s").Targets, "answers are reported once")
}
