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

// Phases of the graceful shutdown, as fractions of the grace.
const (
	// listenerCloseShare is when the listener is closed. The load balancer checks once a second
	// and removes a VM after two failed checks.
	listenerCloseShare = 0.55
	// lastResponseShare is when the last response must have been sent. Requests that still run are
	// cancelled leaving.AnswerDelivery earlier, so that their callers get a response.
	lastResponseShare = 0.92
)

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// stop shuts the daemon down gracefully. First it tells the load balancer and the other VMs, and
// continues to serve requests; then it closes the listener, and waits for the last response to be
// sent. If the listener and kept connections were closed at once, requests in flight would be
// lost.
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
	g.forwarded.await(stopCtx)
	g.cancel()
	g.mesh.Close()
	g.forwardClients.Close()
	g.peers.Close()
	g.life.MarkDrained()
	return errors.Join(err, g.ready.Close())
}

// shutdownFront closes the listener and waits for the requests in flight. Those that still run
// after cancelAfter are cancelled, and their callers get a response.
func (g *Gateway) shutdownFront(ctx context.Context, cancelAfter time.Duration) error {
	timer := time.AfterFunc(cancelAfter, func() { g.cancelRequests(errShuttingDown) })
	defer timer.Stop()
	err := g.front.Shutdown(ctx)
	if g.callers == nil {
		return err
	}
	return errors.Join(err, g.callers.Wait(ctx))
}

// beginLeaving tells the load balancer, the other VMs and callers that this VM is shutting down.
func (g *Gateway) beginLeaving() {
	g.leavingSince.Store(int64(g.clock.Now()))
	g.leaving.Store(true)
	g.forwarded.drain()
}

// shutdownElapsed returns the time since the graceful shutdown began.
func (g *Gateway) shutdownElapsed() time.Duration {
	return g.clock.Now() - time.Duration(g.leavingSince.Load())
}

// shutdownTimeLeft returns the time until the graceful shutdown must have ended.
func (g *Gateway) shutdownTimeLeft() time.Duration {
	return fractionOf(time.Duration(g.grace.Load()), lastResponseShare) - g.shutdownElapsed()
}

// errShuttingDown is the cause with which requests in flight are cancelled at the end of the
// graceful shutdown.
var errShuttingDown = errors.New("the process stops")

// cancelledByShutdown reports whether a request was cancelled by the graceful shutdown, not by its
// caller.
func cancelledByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShuttingDown)
}

// closeConnectionIfLeaving makes the caller send its next request on a new connection, which the
// load balancer opens to another VM, if this one is shutting down.
func (g *Gateway) closeConnectionIfLeaving(h http.Header) {
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// mayOutlastShutdown reports whether this VM is shutting down and the request might not end in
// time. Such a request is not sent to the target.
func (g *Gateway) mayOutlastShutdown(c *call, a *attempt, timeLeft time.Duration) bool {
	if !g.leaving.Load() {
		return false
	}
	expected := a.expected
	if a.cold {
		expected = time.Duration(float64(expected) * g.state.warmupCostFor(c.service))
	}
	elapsed, remaining := g.shutdownElapsed(), g.shutdownTimeLeft()
	request := leaving.Request{MaxDuration: timeLeft, Expected: expected}
	accepted := leaving.Accepts(request, elapsed, remaining)
	if c.possibleRuns > 0 {
		accepted = leaving.AllowsRepeat(request, remaining)
	}
	if !accepted {
		c.refusedOn = fmt.Sprintf("%s expected %dms most %dms stopping for %dms ends in %dms ran %d",
			a.id, expected.Milliseconds(), timeLeft.Milliseconds(), elapsed.Milliseconds(), remaining.Milliseconds(), c.possibleRuns)
	}
	return !accepted
}
