package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/mesh"
)

func TestNewestAnnouncedConfigIsKnownBeforeItIsInForce(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	announce := func(version uint64) {
		g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: "vm", Addr: "127.0.0.1:1", Incarnation: 1}, ConfigVersion: version})
	}
	announce(5)
	clock.advance(time.Second)
	announce(4)
	announce(5)
	require.EqualValues(t, 5, g.state.announced.newest())
	require.Equal(t, time.Second, g.state.announced.age(5, clock.Now()))
	require.Zero(t, g.state.announced.age(6, clock.Now()), "it was not announced")
}

func TestPendingCallsAreListedByAge(t *testing.T) {
	p := newPendingCalls()
	watched, listed := p.add("watch", "config", time.Second), p.add("list", "targets", 2*time.Second)
	require.Equal(t, 3*time.Second, p.oldest(4*time.Second))
	calls := p.list(4 * time.Second)
	require.Len(t, calls, 2)
	require.Equal(t, "list", calls[1].Operation)
	require.EqualValues(t, 2000, calls[1].AgeMs)
	watched()
	listed()
	require.Zero(t, p.oldest(5*time.Second))
}
