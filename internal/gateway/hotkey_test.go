package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// Guards against VMs that together send the owner of a hot key far more requests than it can run.
func TestHotKeyLimitIsAppliedPerKey(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	s := g.state
	s.setTargets(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(2, []lease.Owner{{ID: "t"}})}
	hot := lease.NewRouting(record, 1, func(int) lease.SliceState { return lease.Served })
	limit := lease.NewLimit(0.1, lease.Unlimited)
	hot.SetLimits(func(i int) lease.Limit { return limit * lease.Limit(i) })
	s.leases.Set(hot)
	sent := func(key uint16) (n int) {
		for range 1000 {
			if a, reason, _ := s.reserveOwner("s", &route.Route{Name: "r"}, key, mesh.LeaseVersion{}, time.Second); a != nil {
				s.finish(a, resultSucceeded)
				n++
			} else {
				require.Equal(t, refusedHot, reason)
			}
		}
		return n
	}
	require.InDelta(t, 1000*limit.Fraction(), sent(65535), 50)
	require.Equal(t, 1000, sent(0), "the other keys of the owner are served")

	c := &call{service: "s", key: 65535, route: &route.Route{Name: "r"}}
	require.Greater(t, g.hotKeyRetryAfter(c), g.retryAfter(c), "a caller retries once the owner has had time for the requests")
}
