package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/platform"
)

func TestGrantorSeesWhatItsVMKnows(t *testing.T) {
	clock := &handClock{now: time.Hour}
	n := testNode(clock)
	defer n.mesh.Close()
	deps := n.keepers.Deps
	require.True(t, deps.Standing.StoreUp())
	n.noteStore(clock.now, platform.ErrUnavailable)
	require.False(t, deps.Standing.StoreUp())
	require.False(t, deps.Standing.Listed())
	n.listed.Store(true)
	require.True(t, deps.Standing.Listed())
	require.False(t, deps.Standing.Leaving())
	n.leaving.Store(true)
	require.True(t, deps.Standing.Leaving())
	require.NotEqual(t, deps.Standing.Tag(), deps.Standing.Tag())

	require.Zero(t, deps.Fleet.Slots("t"))
	n.state.list(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	require.Equal(t, 2, deps.Fleet.Slots("t"))
	require.NotNil(t, deps.Fleet.View().ByID["t"])
	_, known := deps.Fleet.UsualTime("s")
	require.False(t, known)
	for range 100 {
		n.state.learnLocked("s", "r", 30*time.Millisecond)
	}
	usual, known := deps.Fleet.UsualTime("s")
	require.True(t, known)
	require.InDelta(t, 30*time.Millisecond, usual, float64(time.Millisecond))
	require.Equal(t, []uint32{catalog.Hash("t")}, deps.Fleet.TakeKeyLoad("s").Targets)
}
