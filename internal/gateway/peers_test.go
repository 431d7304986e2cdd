package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// testRouting returns a routing of 100 slices, the first of which have moved to another owner.
func testRouting(seq uint64, moved int) *lease.Routing {
	r := lease.Record{Service: "s", Epoch: 3, Slices: lease.EvenSlices(100, []lease.Owner{{ID: "a"}, {ID: "b"}})}
	for i := range moved {
		r.Slices[i].Owner = lease.Owner{ID: "c"}
	}
	return lease.NewRouting(r, seq, func(int) lease.SliceState { return lease.Served })
}

func TestMalformedLeasesAreRejected(t *testing.T) {
	s := newTestState(newManualClock(0))
	bad := testRouting(1, 0)
	bad.Owner = bad.Owner[1:]
	require.False(t, s.updateRouting(&lease.Update{Routing: *bad}))
	require.Nil(t, s.routingOf("s"))
}

// Guards against a heartbeat that overtakes an update, so that every VM fetches the whole routing.
func TestStaleLeasesAreFetchedAfterDelay(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	mark := mesh.LeaseVersion{Service: "s", Epoch: 3, Seq: 2}
	require.True(t, g.isStale(mark), "unknown leases are fetched at once")
	g.state.leases.Set(testRouting(1, 0))
	require.False(t, g.isStale(mark))
	clock.advance(staleFetchDelay)
	require.True(t, g.isStale(mark))
	g.state.leases.Set(testRouting(2, 1))
	require.False(t, g.isStale(mark))
	mark.Seq = 3
	require.False(t, g.isStale(mark), "the delay starts anew with each version known here")
	mark.Epoch = 4
	require.True(t, g.isStale(mark))
}

// Guards against a VM that starts without knowing the others, because seeds that do not answer come first.
func TestSilentSeedsDoNotDelayTheOthers(t *testing.T) {
	known := newPeerGateway(t, "known", 0)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	g := newPeerGateway(t, "new", 0)
	for range 100 {
		g.settings.Seeds = append(g.settings.Seeds, silent.Addr().String())
	}
	g.settings.Seeds = append(g.settings.Seeds, known.self.Addr)
	go g.joinThroughSeeds(g.ctx)
	eventually(t, g.joined.Load)
}
