package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hemlockquay/internal/decide/leaving"
)

// beginLeaving lets the balancer, the other VMs and callers learn that this VM leaves.
func (g *Gateway) beginLeaving() {
	g.leavingSince.Store(int64(g.clock.Now()))
	g.leaving.Store(true)
}

// errStopping is the cause that ends requests in flight at the end of the graceful shutdown.
var errStopping = errors.New("the process stops")

// endedByStop reports whether a request's context was ended by the graceful shutdown, not by its
// caller.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// closeIfLeaving has the caller send its next request on a connection to another VM.
func (g *Gateway) closeIfLeaving(h http.Header) {
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// outlasts reports whether a request is not to be sent to a target since it may outlast this
// VM, which was asked to stop.
func (g *Gateway) outlasts(c *call, e *attempt, left time.Duration) bool {
	if !g.leaving.Load() {
		return false
	}
	expected := e.expected
	if e.cold {
		expected = time.Duration(float64(expected) * g.state.warmupCostOf(c.service))
	}
	since := g.clock.Now() - time.Duration(g.leavingSince.Load())
	stays := part(time.Duration(g.grace.Load()), stopWaiting) - since
	request := leaving.Request{Most: left, Expected: expected}
	sends := leaving.Takes(request, since, stays)
	if c.ran > 0 {
		sends = leaving.Repeats(request, stays)
	}
	if !sends {
		c.refusedOn = fmt.Sprintf("%s expected %dms most %dms stopping for %dms ends in %dms ran %d",
			e.id, expected.Milliseconds(), left.Milliseconds(), since.Milliseconds(), stays.Milliseconds(), c.ran)
	}
	return !sends
}
