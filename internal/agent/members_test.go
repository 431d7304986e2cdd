package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

func twoMembers(clock *manualClock) *members {
	m := newMembers(wire.Member{VM: "vm1"}, clock, time.Second, func() {})
	m.setList([]platform.VM{{Name: "vm1"}, {Name: "vm2", State: platform.VMLive}})
	return m
}

// A VM is replaced under its old name. A heartbeat of the old process, held up
// on the way, arrives after the new one's: requests would go to the old address.
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

// A VM freezes for a minute and returns. Every peer seems silent, and its
// daemons would send all requests to themselves. The pause is no silence.
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

// An agent starts while the platform's list cannot be read: peers that speak
// count until the list comes, which then rules.
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

// A VM is replaced under load. Its dispatcher gets requests before its agent has
// heard who owns which key, and callers wait out their deadline. The agent is
// settled only with every listed peer's grants, or once silence shows.
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
