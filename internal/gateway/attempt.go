package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/decide/relay"
	"hemlockquay/internal/upstream"
)

// forward sends the request to targets until one of them responds or no further attempt is
// allowed.
func (g *Gateway) forward(ctx context.Context, c *call) outcome {
	defer g.returnPlace(c)
	for {
		timeLeft := c.timeLeft()
		if timeLeft < minTimeLeft {
			return c.timedOut()
		}
		if g.state.crashesTargets(c.digest, g.mesh) {
			return c.giveUp("request ends the targets that run it", maxRetryAfter)
		}
		a, reason := g.reserveTarget(ctx, c, timeLeft)
		if (reason == refusedMoving || reason == refusedWarming) && g.awaitRoutingChange(ctx, c, maxMoveWait) {
			continue
		}
		if reason == refusedUnreached {
			if out := g.attemptThroughPeers(ctx, c); out != nil {
				return *out
			}
			if c.attemptsUsedUp() {
				return c.giveUp(reasonAttemptsUsedUp, g.retryAfter(c))
			}
			continue
		}
		if ended := caller.Check(ctx); a == nil && ended != nil {
			return *c.endedBy(ended)
		}
		if reason == refusedNoPlace {
			return c.giveUp(string(reason), max(c.placeRetryAfter, minRetryAfter))
		}
		if reason == refusedLost || reason == refusedExpired {
			return c.giveUp(string(reason), timeLeft/lostOwnerRetryDivisor)
		}
		if reason == refusedResting {
			return c.giveUp(string(reason), g.restRetryAfter(c))
		}
		if reason == refusedHot {
			return c.giveUp(string(reason), g.hotKeyRetryAfter(c))
		}
		if a == nil && len(c.overLimit) > 0 {
			return c.giveUp(string(refusedLimited), c.limitRetryAfter)
		}
		if a == nil {
			return c.giveUp(string(reason), g.retryAfter(c))
		}
		if g.mayOutlastShutdown(c, a, timeLeft) {
			g.state.finish(a, resultAbandoned)
			return c.giveUp(string(refusedLeaving), immediateRetryAfter)
		}
		if c.keyed {
			if ready, out := g.consultOwner(ctx, c, a, timeLeft); out != nil {
				return *out
			} else if !ready {
				continue
			}
		}
		if !g.takePermit(ctx, c, a, timeLeft) {
			g.release(a)
			if c.keyed {
				return c.giveUp(string(refusedLimited), c.limitRetryAfter)
			}
			continue
		}
		if out := g.refuseRepeat(c); out != nil {
			g.state.finish(a, resultAbandoned)
			return *out
		}
		if out := g.attempt(ctx, c, a); out != nil {
			return *out
		}
		if c.attemptsUsedUp() {
			return c.giveUp(reasonAttemptsUsedUp, g.retryAfter(c))
		}
	}
}

// reasonAttemptsUsedUp is the reason of a refusal after as many attempts as a request may have.
const reasonAttemptsUsedUp = "attempts used up"

// attemptsUsedUp reports whether the request may not be sent again.
func (c *call) attemptsUsedUp() bool {
	return c.possibleRuns >= max(c.route.MaxTargets, 1) || c.delivered > c.route.MaxTargets+1 || c.connectFailures > maxConnectFailures
}

// refuseRepeat takes one repeat from the budget if the request has been delivered before. It returns the
// outcome of the request if none is left.
func (g *Gateway) refuseRepeat(c *call) *outcome {
	if c.delivered == 0 {
		return nil
	}
	d := g.takeRepeat(c)
	if d.Granted {
		return nil
	}
	c.decidedOn = d.String()
	out := c.giveUp(reasonNoRepeats, g.retryAfter(c))
	return &out
}

func (g *Gateway) reserveTarget(ctx context.Context, c *call, timeLeft time.Duration) (*attempt, refusal) {
	if c.keyed {
		if owner := g.ownerOf(c); c.unreached[owner] {
			return nil, g.state.refusalOfUnreached(owner)
		}
		if details := g.leasesExpired(c.service, g.clock.Now()); details != "" {
			c.decidedOn = details
			return nil, refusedExpired
		}
		if reason := g.takePlace(ctx, c, timeLeft); reason != notRefused {
			return nil, reason
		}
		timeLeft = c.timeLeft()
		a, reason, details := g.state.reserveOwnerOf(ownerRequest{service: c.service, route: c.route, key: c.key, misdirected: c.misdirectedBy, place: c.place}, timeLeft)
		if c.refusedOn = details; a == nil {
			g.returnPlace(c)
		}
		return a, reason
	}
	return g.reserveAskedFromPool(ctx, c, timeLeft)
}

// ownerOf returns the ID of the target that owns the key of the request, or "" if none is known.
func (g *Gateway) ownerOf(c *call) string {
	r := g.state.leases.Get(c.service)
	if r == nil {
		return ""
	}
	owner, _ := r.Find(c.key)
	return owner
}

// excluded returns the targets that this VM must not send the request to.
func (c *call) excluded() map[string]bool {
	if len(c.unreached) == 0 && len(c.overLimit) == 0 {
		return c.tried
	}
	out := maps.Clone(c.tried)
	maps.Copy(out, c.unreached)
	maps.Copy(out, c.overLimit)
	return out
}

// awaitRoutingChange waits for a change of the leases or targets, for at most misdirectedPause. It
// reports whether to try again: false if the request has no time left or has waited for limit in
// total.
func (g *Gateway) awaitRoutingChange(ctx context.Context, c *call, limit time.Duration) bool {
	timeLeft := min(limit-c.waited, c.timeLeft()-minTimeLeft)
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
func (g *Gateway) attempt(ctx context.Context, c *call, a *attempt) *outcome {
	resp, err := g.exchange(ctx, c, a)
	if a.withheld != notRefused {
		g.release(a)
		if a.ended != nil {
			return c.endedBy(a.ended)
		}
		return nil
	}
	if errors.Is(err, upstream.ErrNotSent) {
		g.finishUnsent(c, a, err)
		return nil
	}
	return g.conclude(ctx, c, a, resp, err)
}

// finishUnsent ends an attempt that was not sent.
func (g *Gateway) finishUnsent(c *call, a *attempt, err error) {
	c.unreached[a.id] = true
	if errors.Is(err, upstream.ErrNoKeptConn) || errors.Is(err, context.Canceled) || upstream.IsLocal(err) {
		g.state.finish(a, resultAbandoned)
		return
	}
	g.state.finish(a, resultNotSent)
	c.connectFailures++
}

// exchange sends the request to the target of an attempt and returns its response.
func (g *Gateway) exchange(ctx context.Context, c *call, a *attempt) (*upstream.Answer, error) {
	c.request.Header.Set(g.headers.TargetID, a.id)
	sendCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.route.Idempotent {
		defer g.state.abortIfSilent(a, cancel)()
	}
	c.request.MaySend = func() bool {
		a.withheld = g.maySend(sendCtx, c, a)
		return a.withheld == notRefused
	}
	a.sent = time.Now()
	sentAt := g.clock.Now()
	resp, err := a.pool.Exchange(sendCtx, c.request, a.conn)
	if a.withheld != notRefused {
		return nil, err
	}
	took := time.Since(a.sent)
	metrics.GetOrRegisterTimer("step.target."+c.service, g.registry).Update(took)
	c.recordAttempt(a, took, resp, err)
	g.state.recordEvidence(sendCtx, a, err)
	if err == nil {
		c.answers = append(c.answers, resp)
		if said := g.applySignals(a.target, resp, received{kind: toRequest, sentAt: sentAt}); said.LoadReported {
			a.reportedSlowness = said.Load.Slowness
		}
	}
	return resp, err
}

// maySend decides about a request of a caller right before its first byte is written, and states the time that is left. It returns
// why the request must not be sent, or notRefused.
func (g *Gateway) maySend(ctx context.Context, c *call, a *attempt) refusal {
	if a.ended = caller.Check(ctx); a.ended != nil {
		return g.withhold(c, a)
	}
	timeLeft := c.timeLeft()
	if timeLeft < minTimeLeft {
		a.ended = caller.ErrExpired
		return g.withhold(c, a)
	}
	c.request.Header.Set(g.headers.DeadlineMs, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	return g.state.admit(a.target, c.sentKind())
}

// withhold records that a request is not sent because it has ended.
func (g *Gateway) withhold(c *call, a *attempt) refusal {
	reason := refusedCancelled
	if errors.Is(a.ended, caller.ErrExpired) {
		reason = refusedLate
	}
	c.trace = append(c.trace, a.id+" withheld: "+a.ended.Error())
	metrics.GetOrRegisterCounter("withheld."+string(reason), g.registry).Inc(1)
	return reason
}

// endsRequest reports whether a request that was withheld for this reason is not sent to another target either.
func (r refusal) endsRequest() bool { return r == refusedCancelled || r == refusedLate }

// conclude handles the response of an attempt, or its loss. It returns nil if another attempt may follow.
func (g *Gateway) conclude(ctx context.Context, c *call, a *attempt, resp *upstream.Answer, err error) *outcome {
	if err != nil {
		return g.handleLostResponse(ctx, c, a)
	}
	verdict := g.verdictOn(resp, c.route.Idempotent)
	if verdict == relay.NotRun {
		return g.handleNotRun(c, a, resp)
	}
	c.delivered++
	c.possibleRuns++
	c.failedResponse = nil
	switch verdict {
	case relay.PassOn:
		g.state.finish(a, resultSucceeded)
		g.state.clearCrashes(c.digest)
		return &outcome{response: resp, status: resp.Status, reason: reasonAnswered}
	case relay.Failed:
		c.failedResponse = resp
	case relay.Withhold:
		c.decidedOn = fmt.Sprintf("%s answered %d, which promises that the request has not run", a.id, resp.Status)
		metrics.GetOrRegisterCounter("answers.withheld."+strconv.Itoa(resp.Status), g.registry).Inc(1)
	}
	g.state.finish(a, resultFailed)
	c.tried[a.id] = true
	c.lastFailure = causeFailed
	if !c.route.Idempotent || resp.Status == http.StatusGatewayTimeout {
		out := c.giveUp("target failed", 0)
		return &out
	}
	return nil
}

// verdictOn returns what becomes of the answer of a target.
func (g *Gateway) verdictOn(resp *upstream.Answer, idempotent bool) relay.Verdict {
	return relay.Of(relay.ByStatus, relay.Answer{Status: resp.Status, SaysNotRun: g.headers.saysNotRun(resp), Idempotent: idempotent})
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
		return &outcome{status: 0, reason: reasonCallerLeft}
	}
	if c.timeLeft() < minTimeLeft {
		g.state.finish(a, resultAbandoned)
		out := c.timedOut()
		return &out
	}
	g.state.finish(a, resultResponseLost)
	c.lastFailure = causeLost
	if a.target != nil {
		go g.recordCrashIfDown(c.digest, a)
	}
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
	c.refusedWithFreeSlots = a.hadFreeSlots
	if c.keyed && !c.refusedWithFreeSlots {
		out := c.giveUp("owner is full", g.retryAfter(c))
		return &out
	}
	// An owner that refuses although it has free slots may accept the request a moment later, unless it refuses
	// others as well.
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
