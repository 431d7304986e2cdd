package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// Guards against keys without service until the end of a store outage. A VM is replaced and lost
// again within seconds. As its agent had received no heartbeats when it started, it took over all
// groups that name it, and left a rank that no other VM in the succession can outrank.
func TestStartingAgentConsidersNoVMLost(t *testing.T) {
	clock := &manualClock{}
	m := newMembers(wire.Member{VM: "vm3"}, clock, 300*time.Millisecond, func() {})
	m.setList([]platform.VM{{Name: "vm1", State: platform.VMLive}, {Name: "vm3", State: platform.VMLive}})
	isLive := func() bool { return notLost(m.aliveWithin(190*time.Millisecond), m.settled())("vm1") }
	require.True(t, isLive(), "the peer has had no time to send a heartbeat")
	clock.now = settleTimeout
	require.False(t, isLive(), "the peer has been silent for settleTimeout")
}

// Guards against ten refused requests each time a VM is replaced. Its agent goes on renewing its
// grants while it leaves, and the next in the succession waited until it was silent.
func TestLeavingGrantorIsReplacedBeforeItStops(t *testing.T) {
	clock := &manualClock{}
	m := newMembers(wire.Member{VM: "vm3"}, clock, 300*time.Millisecond, func() {})
	m.setList([]platform.VM{{Name: "vm1", State: platform.VMLive}, {Name: "vm3", State: platform.VMLive}})
	m.recordHeartbeat(wire.Member{VM: "vm1", Incarnation: "vm1-1"})
	require.True(t, m.aliveWithin(190 * time.Millisecond)["vm1"])
	m.recordHeartbeat(wire.Member{VM: "vm1", Incarnation: "vm1-1", Leaving: true})
	require.False(t, m.aliveWithin(190 * time.Millisecond)["vm1"])
}
