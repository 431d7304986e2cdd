package gateway

import (
	"time"

	"hemlockquay/internal/decide/leaving"
)

// beginLeaving lets the balancer, the other VMs and callers learn that this VM leaves.
func (n *node) beginLeaving() {
	n.leavingSince.Store(int64(n.clock.Now()))
	n.leaving.Store(true)
}

// outlasts tells whether a request that nobody has run yet may outlast this VM, which was
// told to stop.
func (n *node) outlasts(c *call, e *attempt, left time.Duration) bool {
	if !n.leaving.Load() || c.ran > 0 {
		return false
	}
	expected := e.expected
	if e.cold {
		expected = time.Duration(float64(expected) * n.state.coldnessOf(c.service))
	}
	since := n.clock.Now() - time.Duration(n.leavingSince.Load())
	stays := part(time.Duration(n.grace.Load()), stopWaiting) - since
	return !leaving.Takes(leaving.Request{Most: left, Expected: expected}, since, stays)
}
