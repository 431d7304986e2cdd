package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// A VM is replaced and lost again within seconds, with the store down: its keys wait
// for the store. When its agent started it had heard nobody, took over all groups that
// name it, and left a rank that no other in the line can outrank.
func TestStartingAgentConsidersNoVMLost(t *testing.T) {
	clock := &manualClock{}
	m := newMembers(wire.Member{VM: "vm3"}, clock, 300*time.Millisecond, func() {})
	m.setList([]platform.VM{{Name: "vm1", State: platform.VMLive}, {Name: "vm3", State: platform.VMLive}})
	isLive := func() bool { return notLost(m.aliveWithin(190*time.Millisecond), m.settled())("vm1") }
	require.True(t, isLive(), "it had no time to speak")
	clock.now = settleTimeout
	require.False(t, isLive(), "silent for long enough")
}

// Each VM that is replaced costs ten refusals. Its agent goes on renewing while it
// leaves, and the next in line waits until it is silent.
func TestLeavingGrantorIsReplacedBeforeItStops(t *testing.T) {
	clock := &manualClock{}
	m := newMembers(wire.Member{VM: "vm3"}, clock, 300*time.Millisecond, func() {})
	m.setList([]platform.VM{{Name: "vm1", State: platform.VMLive}, {Name: "vm3", State: platform.VMLive}})
	m.recordHeartbeat(wire.Member{VM: "vm1", Incarnation: "vm1-1"})
	require.True(t, m.aliveWithin(190 * time.Millisecond)["vm1"])
	m.recordHeartbeat(wire.Member{VM: "vm1", Incarnation: "vm1-1", Leaving: true})
	require.False(t, m.aliveWithin(190 * time.Millisecond)["vm1"])
}
