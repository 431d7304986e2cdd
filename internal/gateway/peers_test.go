package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// owners returns a routing in which the first slices of a hundred have moved.
func owners(seq uint64, moved int) *lease.Routing {
	r := lease.Record{Service: "s", Epoch: 3, Slices: lease.EvenSlices(100, []lease.Owner{{ID: "a"}, {ID: "b"}})}
	for i := range moved {
		r.Slices[i].Owner = lease.Owner{ID: "c"}
	}
	return lease.NewRouting(r, seq, func(int) lease.SliceState { return lease.Served })
}

func TestMalformedLeasesAreNotTakenIn(t *testing.T) {
	s := testState(newHandClock(0))
	bad := owners(1, 0)
	bad.Owner = bad.Owner[1:]
	require.False(t, s.updateRouting(&lease.Update{Routing: *bad}))
	require.Nil(t, s.routingOf("s"))
}

// Guards against a whole routing that every VM fetches because a heartbeat overtook an update.
func TestLeasesAreFetchedOnlyOnceTheyStayBehind(t *testing.T) {
	clock := newHandClock(time.Hour)
	n := testGateway(clock)
	defer n.mesh.Close()
	mark := mesh.LeaseVersion{Service: "s", Epoch: 3, Seq: 2}
	require.True(t, n.behind(mark), "unknown leases are fetched at once")
	n.state.leases.Set(owners(1, 0))
	require.False(t, n.behind(mark))
	clock.advance(behindLeast)
	require.True(t, n.behind(mark))
	n.state.leases.Set(owners(2, 1))
	require.False(t, n.behind(mark))
	mark.Seq = 3
	require.False(t, n.behind(mark), "time counts from the version at hand")
	mark.Epoch = 4
	require.True(t, n.behind(mark))
}
