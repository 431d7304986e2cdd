package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/upstream"
)

// forward sends the request to targets until one of them responds or no further attempt is
// allowed.
func (g *Gateway) forward(ctx context.Context, c *call) outcome {
	for {
		timeLeft := time.Until(c.deadline)
		if timeLeft < minTimeLeft {
			return c.timedOut()
		}
		if g.state.crashesTargets(c.digest, g.mesh) {
			return c.giveUp("request ends the targets that run it", maxRetryAfter)
		}
		a, reason := g.reserveTarget(c, timeLeft)
		if reason == refusedMoving && g.awaitRoutingChange(ctx, c, maxMoveWait) {
			continue
		}
		if reason == refusedLost || reason == refusedExpired {
			return c.giveUp(string(reason), timeLeft/lostOwnerRetryDivisor)
		}
		if reason == refusedHot {
			return c.giveUp(string(reason), g.hotKeyRetryAfter(c))
		}
		if a == nil {
			return c.giveUp(string(reason), g.retryAfter(c))
		}
		if g.mayOutlastShutdown(c, a, timeLeft) {
			g.state.finish(a, resultAbandoned)
			return c.giveUp(string(refusedLeaving), immediateRetryAfter)
		}
		if c.delivered > 0 {
			if d := g.takeRepeat(c); !d.Granted {
				g.state.finish(a, resultAbandoned)
				c.decidedOn = d.String()
				return c.giveUp(reasonNoRepeats, g.retryAfter(c))
			}
		}
		if out := g.attempt(ctx, c, a, timeLeft); out != nil {
			return *out
		}
		if c.possibleRuns >= max(c.route.MaxTargets, 1) || c.delivered > c.route.MaxTargets+1 || c.connectFailures > maxConnectFailures {
			return c.giveUp("attempts used up", g.retryAfter(c))
		}
	}
}

func (g *Gateway) reserveTarget(c *call, timeLeft time.Duration) (*attempt, refusal) {
	if c.keyed {
		if details := g.leasesExpired(c.service, g.clock.Now()); details != "" {
			c.decidedOn = details
			return nil, refusedExpired
		}
		a, reason, details := g.state.reserveOwner(c.service, c.route, c.key, c.misdirectedBy, timeLeft)
		c.refusedOn = details
		return a, reason
	}
	return g.state.reserveFromPool(c.service, c.route, c.tried, timeLeft, g.clock.Now())
}

// awaitRoutingChange waits for a change of the leases or targets, for at most misdirectedPause. It
// reports whether to try again: false if the request has no time left or has waited for limit in
// total.
func (g *Gateway) awaitRoutingChange(ctx context.Context, c *call, limit time.Duration) bool {
	timeLeft := min(limit-c.waited, time.Until(c.deadline)-minTimeLeft)
	if timeLeft <= 0 {
		return false
	}
	g.state.mu.Lock()
	changed := g.state.changed
	g.state.mu.Unlock()
	begin := time.Now()
	defer func() {
		waited := time.Since(begin)
		c.waited += waited
		metrics.GetOrRegisterTimer("step.keywait", g.registry).Update(waited)
	}()
	timer := time.NewTimer(min(timeLeft, misdirectedPause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// attempt sends the request to one target. It returns nil if another attempt may follow.
func (g *Gateway) attempt(ctx context.Context, c *call, a *attempt, timeLeft time.Duration) *outcome {
	c.request.Header.Set(g.headers.TargetID, a.id)
	c.request.Header.Set(g.headers.DeadlineMs, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	sendCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	resp, err := a.pool.Exchange(sendCtx, c.request, upstream.AnyConn)
	took := time.Since(a.sent)
	metrics.GetOrRegisterTimer("step.target."+c.service, g.registry).Update(took)
	c.recordAttempt(a, took, resp, err)
	g.state.recordEvidence(sendCtx, a, err)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.state.finish(a, resultNotSent)
		c.tried[a.id] = true
		c.connectFailures++
		if c.keyed {
			g.awaitRoutingChange(ctx, c, maxMoveWait)
		}
		return nil
	case err != nil:
		return g.handleLostResponse(ctx, c, a)
	case g.headers.saysNotRun(resp):
		return g.handleNotRun(c, a, resp)
	}
	c.delivered++
	c.possibleRuns++
	if resp.Status < http.StatusInternalServerError {
		g.state.finish(a, resultSucceeded)
		g.state.clearCrashes(c.digest)
		return &outcome{response: resp, status: resp.Status, reason: reasonAnswered}
	}
	g.state.finish(a, resultFailed)
	c.tried[a.id] = true
	c.failedResponse = resp
	c.lastFailure = causeFailed
	if !c.route.Idempotent || resp.Status == http.StatusGatewayTimeout {
		out := c.giveUp("target failed", 0)
		return &out
	}
	return nil
}

// handleLostResponse handles a response that was lost. The request may have run.
func (g *Gateway) handleLostResponse(ctx context.Context, c *call, a *attempt) *outcome {
	c.delivered++
	c.possibleRuns++
	if cancelledByShutdown(ctx) {
		g.state.finish(a, resultAbandoned)
		out := c.giveUp(errShuttingDown.Error(), 0)
		return &out
	}
	if ctx.Err() != nil {
		g.state.finish(a, resultAbandoned)
		return &outcome{status: 0, reason: "caller left"}
	}
	if time.Until(c.deadline) < minTimeLeft {
		g.state.finish(a, resultAbandoned)
		out := c.timedOut()
		return &out
	}
	g.state.finish(a, resultResponseLost)
	c.lastFailure = causeLost
	go g.recordCrashIfDown(c.digest, a)
	c.tried[a.id] = true
	if !c.route.Idempotent {
		out := c.giveUp("answer lost", 0)
		return &out
	}
	return nil
}

// handleNotRun handles a response that says that the target has not run the request.
func (g *Gateway) handleNotRun(c *call, a *attempt, resp *upstream.Answer) *outcome {
	c.delivered++
	if g.headers.fromOtherTarget(resp, a.id) {
		g.state.markDisplaced(a)
	}
	if resp.Status == http.StatusMisdirectedRequest && c.keyed {
		g.state.finish(a, resultAbandoned)
		g.state.recordMisdirected(c.service)
		// Only a later version of the leases can name another owner, or confirm this one.
		c.lastFailure, c.misdirectedBy = causeMisdirected, a.leases
		return nil
	}
	g.state.finish(a, resultFailed)
	c.tried[a.id] = true
	c.lastFailure = causeRefused
	c.refusedWithFreeSlots = a.load < a.target.Slots
	if c.keyed && !c.refusedWithFreeSlots {
		out := c.giveUp("owner is full", g.retryAfter(c))
		return &out
	}
	// An owner that refuses although it has free slots may accept the request a moment later.
	return nil
}

// retryAfter returns the time after which a slot should be free. A target that refuses although it
// has free slots may accept the request a moment later.
func (g *Gateway) retryAfter(c *call) time.Duration {
	if c.refusedWithFreeSlots {
		return immediateRetryAfter
	}
	g.state.mu.Lock()
	usual := g.state.usualDurationLocked(c.service, c.route.Name)
	g.state.mu.Unlock()
	return min(max(usual, minRetryAfter), maxRetryAfter)
}

// hotKeyRetryAfter returns the time after which to retry a request for a key that gets more
// requests than its owner can run. The owner runs only a fraction of them, so it needs several
// service times for what arrives during one.
func (g *Gateway) hotKeyRetryAfter(c *call) time.Duration {
	fraction := 1.0
	if r := g.state.leases.Get(c.service); r != nil {
		fraction = r.LimitOf(c.key).Fraction()
	}
	return min(time.Duration(float64(g.retryAfter(c))/fraction), maxRetryAfter)
}
