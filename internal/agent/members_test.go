package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

func twoMembers(clock *manualClock) *members {
	m := newMembers(wire.Member{VM: "vm1"}, clock, time.Second, func() {})
	m.setList([]platform.VM{{Name: "vm1"}, {Name: "vm2", State: platform.VMLive}})
	return m
}

// Guards against requests to the address of a replaced process. A VM is replaced under the same
// name, and a delayed heartbeat of the old process arrives after those of the new one.
func TestMembersIgnoreOlderIncarnation(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	m := twoMembers(clock)
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-200", DispatchAddr: "new"})
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-100", DispatchAddr: "old"})
	require.Equal(t, "new", m.live()[1].DispatchAddr)
	clock.now += 2 * time.Second
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-100", DispatchAddr: "clock set back"})
	require.Equal(t, "clock set back", m.live()[1].DispatchAddr)
}

// Guards against a VM that considers all peers lost after it was suspended for a minute, so that
// its daemons would send all requests to themselves. The pause must not count as silence.
func TestMembersSurviveOwnPause(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	m := twoMembers(clock)
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-1"})
	clock.now += time.Minute
	m.excludePause(time.Minute)
	require.Len(t, m.live(), 2)
	clock.now += time.Second
	require.Len(t, m.live(), 1)
}

// An agent starts while the platform's list cannot be read. Peers that send heartbeats count as
// members until the list is read, which then decides.
func TestMembersBeforeFirstList(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	m := newMembers(wire.Member{VM: "vm1"}, clock, time.Second, func() {})
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-1", AgentAddr: "a2", Held: 4, Holds: true})
	_, far := m.peersAhead(0, false)
	near, _ := m.peersAhead(3, true)
	require.Equal(t, []string{"a2"}, append(near, far...)[:1])
	m.setList([]platform.VM{{Name: "vm1"}})
	require.Len(t, m.live(), 1)
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-1"})
	require.Len(t, m.live(), 1)
}

// Guards against callers waiting until their deadline after a VM was replaced under load: its
// dispatcher gets requests before its agent knows the owners of the keys. The agent is settled
// only when every listed peer has reported its grants, or after settleTimeout.
func TestMembersSettle(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	m := twoMembers(clock)
	require.False(t, m.settled())
	m.recordHeartbeat(wire.Member{VM: "vm2", Incarnation: "vm2-1"})
	require.False(t, m.settled())
	m.setPeerGrants("vm2", &wire.BeatReply{Member: wire.Member{Incarnation: "vm2-1"}})
	require.True(t, m.settled())
	unreachable := twoMembers(clock)
	clock.now += settleTimeout
	require.True(t, unreachable.settled())
}
