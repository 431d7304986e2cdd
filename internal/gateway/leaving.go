package gateway

import (
	"time"

	"hemlockquay/internal/decide/leaving"
)

// beginLeaving lets the balancer, the other VMs and callers learn that this VM leaves.
func (g *Gateway) beginLeaving() {
	g.leavingSince.Store(int64(g.clock.Now()))
	g.leaving.Store(true)
}

// outlasts reports whether a request that nobody has run yet may outlast this VM, which was
// asked to stop.
func (g *Gateway) outlasts(c *call, e *attempt, left time.Duration) bool {
	if !g.leaving.Load() || c.ran > 0 {
		return false
	}
	expected := e.expected
	if e.cold {
		expected = time.Duration(float64(expected) * g.state.warmupCostOf(c.service))
	}
	since := g.clock.Now() - time.Duration(g.leavingSince.Load())
	stays := part(time.Duration(g.grace.Load()), stopWaiting) - since
	return !leaving.Takes(leaving.Request{Most: left, Expected: expected}, since, stays)
}
