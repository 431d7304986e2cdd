package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/route"
)

// Guards against a hot key whose requests all ask one VM for a place, and a limit that refuses urgent ones as often as others.
func TestHotKeyIsLimitedBeforeAPlaceIsAskedFor(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	g.state.setRepeatLimit(testRepeatLimit)
	r := lease.NewRouting(lease.Record{Service: "keyed", Epoch: 1, Slices: lease.EvenSlices(1, []lease.Owner{{ID: "t"}})}, 1, func(int) lease.SliceState { return lease.Served })
	r.SetLimits(func(int) lease.Limit { return lease.NewLimit(0.1, lease.Unlimited) })
	g.state.leases.Set(r)
	for range 100 {
		for priority := range 2 {
			g.state.recordRequest("keyed", priority, clock.Now())
		}
	}
	limited := func(priority int, forwarded bool) (n int) {
		for range 1000 {
			if g.state.limitedByHotKey(&call{service: "keyed", keyed: true, forwarded: forwarded, route: &route.Route{Priority: priority}}) != "" {
				n++
			}
		}
		return n
	}
	require.Zero(t, limited(0, false), "the most urgent")
	require.InDelta(t, 900, limited(1, false), 60)
	require.Zero(t, limited(1, true), "limited at the VM that received it")
}
