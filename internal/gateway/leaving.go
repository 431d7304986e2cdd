package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hemlockquay/internal/decide/leaving"
	"hemlockquay/internal/pause"
)

// Times of the graceful shutdown, as parts of the grace.
const (
	// stopAccepting is when the listener is closed: the balancer checks once a
	// second and takes a VM out after two misses.
	stopAccepting = 0.55
	// stopWaiting is when the last answers have been sent. Requests that still run are ended
	// leaving.AnswerDelivery earlier, so that their callers get an answer.
	stopWaiting = 0.92
)

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// stop shuts the daemon down: first the balancer and the other VMs learn of it, while requests
// are served as before; then the listener is closed; the process ends when the last
// answer has been sent.
// Kept connections and the listener stay open at first: requests in flight would be lost.
func (g *Gateway) stop(ctx context.Context) error {
	begin := time.Now()
	grace := time.Duration(g.grace.Load())
	g.beginLeaving()
	g.life.BeginDrain()
	pause.For(ctx, part(grace, stopAccepting))
	end := begin.Add(part(grace, stopWaiting))
	stopCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.closeFront(stopCtx, time.Until(end)-leaving.AnswerDelivery)
	g.log.Info().Str("step", "stop").Dur("took", time.Since(begin)).Err(err).Int("leading", g.leasing.Leading()).Msg("front closed")
	g.leasing.AwaitSuccessors(stopCtx)
	g.cancel()
	g.mesh.Close()
	g.peers.Close()
	g.life.Drained()
	return errors.Join(err, g.ready.Close())
}

// closeFront ends new connections, waits for the requests in flight, and ends with an answer
// those that still run after a time.
func (g *Gateway) closeFront(ctx context.Context, after time.Duration) error {
	ends := time.AfterFunc(after, func() { g.endRequests(errStopping) })
	defer ends.Stop()
	return g.front.Shutdown(ctx)
}

// beginLeaving lets the balancer, the other VMs and callers learn that this VM leaves.
func (g *Gateway) beginLeaving() {
	g.leavingSince.Store(int64(g.clock.Now()))
	g.leaving.Store(true)
}

// stoppingFor returns for how long the graceful shutdown has run.
func (g *Gateway) stoppingFor() time.Duration {
	return g.clock.Now() - time.Duration(g.leavingSince.Load())
}

// endsIn returns when the graceful shutdown ends at the latest.
func (g *Gateway) endsIn() time.Duration {
	return part(time.Duration(g.grace.Load()), stopWaiting) - g.stoppingFor()
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
	since, stays := g.stoppingFor(), g.endsIn()
	request := leaving.Request{MaxDuration: left, Expected: expected}
	sends := leaving.Accepts(request, since, stays)
	if c.ran > 0 {
		sends = leaving.AllowsRepeat(request, stays)
	}
	if !sends {
		c.refusedOn = fmt.Sprintf("%s expected %dms most %dms stopping for %dms ends in %dms ran %d",
			e.id, expected.Milliseconds(), left.Milliseconds(), since.Milliseconds(), stays.Milliseconds(), c.ran)
	}
	return !sends
}
