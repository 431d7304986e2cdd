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
	// listenerCloseShare is when the listener is closed: the balancer checks once a
	// second and takes a VM out after two misses.
	listenerCloseShare = 0.55
	// lastResponseShare is when the last answers have been sent. Requests that still run are ended
	// leaving.AnswerDelivery earlier, so that their callers get an answer.
	lastResponseShare = 0.92
)

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// stop shuts the daemon down: first the balancer and the other VMs learn of it, while requests
// are served as before; then the listener is closed; the process ends when the last
// answer has been sent.
// Kept connections and the listener stay open at first: requests in flight would be lost.
func (g *Gateway) stop(ctx context.Context) error {
	begin := time.Now()
	grace := time.Duration(g.grace.Load())
	g.beginLeaving()
	g.life.BeginDrain()
	pause.For(ctx, fractionOf(grace, listenerCloseShare))
	end := begin.Add(fractionOf(grace, lastResponseShare))
	stopCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.shutdownFront(stopCtx, time.Until(end)-leaving.AnswerDelivery)
	g.log.Info().Str("step", "stop").Dur("took", time.Since(begin)).Err(err).Int("leading", g.leasing.Leading()).Msg("front closed")
	g.leasing.AwaitSuccessors(stopCtx)
	g.cancel()
	g.mesh.Close()
	g.peers.Close()
	g.life.Drained()
	return errors.Join(err, g.ready.Close())
}

// shutdownFront ends new connections, waits for the requests in flight, and ends with an answer
// those that still run after a time.
func (g *Gateway) shutdownFront(ctx context.Context, cancelAfter time.Duration) error {
	timer := time.AfterFunc(cancelAfter, func() { g.cancelRequests(errShuttingDown) })
	defer timer.Stop()
	return g.front.Shutdown(ctx)
}

// beginLeaving lets the balancer, the other VMs and callers learn that this VM leaves.
func (g *Gateway) beginLeaving() {
	g.leavingSince.Store(int64(g.clock.Now()))
	g.leaving.Store(true)
}

// shutdownElapsed returns for how long the graceful shutdown has run.
func (g *Gateway) shutdownElapsed() time.Duration {
	return g.clock.Now() - time.Duration(g.leavingSince.Load())
}

// shutdownTimeLeft returns when the graceful shutdown ends at the latest.
func (g *Gateway) shutdownTimeLeft() time.Duration {
	return fractionOf(time.Duration(g.grace.Load()), lastResponseShare) - g.shutdownElapsed()
}

// errShuttingDown is the cause that ends requests in flight at the end of the graceful shutdown.
var errShuttingDown = errors.New("the process stops")

// canceledByShutdown reports whether a request's context was ended by the graceful shutdown, not by its
// caller.
func canceledByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShuttingDown)
}

// closeConnectionIfLeaving has the caller send its next request on a connection to another VM.
func (g *Gateway) closeConnectionIfLeaving(h http.Header) {
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// mayOutlastShutdown reports whether a request is not to be sent to a target since it may outlast this
// VM, which was asked to stop.
func (g *Gateway) mayOutlastShutdown(c *call, e *attempt, left time.Duration) bool {
	if !g.leaving.Load() {
		return false
	}
	expected := e.expected
	if e.cold {
		expected = time.Duration(float64(expected) * g.state.warmupCostFor(c.service))
	}
	elapsed, remaining := g.shutdownElapsed(), g.shutdownTimeLeft()
	request := leaving.Request{MaxDuration: left, Expected: expected}
	accepted := leaving.Accepts(request, elapsed, remaining)
	if c.mayHaveRun > 0 {
		accepted = leaving.AllowsRepeat(request, remaining)
	}
	if !accepted {
		c.refusedOn = fmt.Sprintf("%s expected %dms most %dms stopping for %dms ends in %dms ran %d",
			e.id, expected.Milliseconds(), left.Milliseconds(), elapsed.Milliseconds(), remaining.Milliseconds(), c.mayHaveRun)
	}
	return !accepted
}
