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

// run sends the request until there is an answer, or a reason to give up.
func (g *Gateway) run(ctx context.Context, c *call) outcome {
	for {
		left := time.Until(c.until)
		if left < leastLeft {
			return c.timeOver()
		}
		if g.state.crashing(c.content, g.mesh) {
			return c.giveUp("request ends the targets that run it", mostRetry)
		}
		e, why := g.choose(c, left)
		if why == refusedMoving && g.await(ctx, c, movingWait) {
			continue
		}
		if why == refusedLost || why == refusedExpired {
			return c.giveUp(string(why), left/lostRetry)
		}
		if why == refusedHot {
			return c.giveUp(string(why), g.retryAfterLimit(c))
		}
		if e == nil {
			return c.giveUp(string(why), g.retryAfter(c))
		}
		if g.outlasts(c, e, left) {
			g.state.finish(e, endLeft)
			return c.giveUp(string(refusedLeaving), soonRetry)
		}
		if c.arrivals > 0 {
			if d := g.repeat(c); !d.Granted {
				g.state.finish(e, endLeft)
				c.decidedOn = d.String()
				return c.giveUp(noRepeats, g.retryAfter(c))
			}
		}
		if out := g.attempt(ctx, c, e, left); out != nil {
			return *out
		}
		if c.ran >= max(c.route.MaxTargets, 1) || c.arrivals > c.route.MaxTargets+1 || c.unsent > unsentMost {
			return c.giveUp("attempts used up", g.retryAfter(c))
		}
	}
}

func (g *Gateway) choose(c *call, left time.Duration) (*attempt, refusal) {
	if c.keyed {
		if about := g.expired(c.service, g.clock.Now()); about != "" {
			c.decidedOn = about
			return nil, refusedExpired
		}
		e, why, about := g.state.chooseOwner(c.service, c.route, c.key, c.misdirected, left)
		c.refusedOn = about
		return e, why
	}
	return g.state.chooseFromPool(c.service, c.route, c.tried, left, g.clock.Now())
}

// await waits for a change of leases or targets and reports whether to try again.
func (g *Gateway) await(ctx context.Context, c *call, most time.Duration) bool {
	left := min(most-c.waited, time.Until(c.until)-leastLeft)
	if left <= 0 {
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
	timer := time.NewTimer(min(left, misdirectedPause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// attempt sends the request to one target. It returns nil where another attempt
// may follow.
func (g *Gateway) attempt(ctx context.Context, c *call, e *attempt, left time.Duration) *outcome {
	c.request.Header.Set(g.headers.TargetID, e.id)
	c.request.Header.Set(g.headers.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	sendCtx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	answer, err := e.pool.Exchange(sendCtx, c.request, upstream.AnyConn)
	took := time.Since(e.sent)
	metrics.GetOrRegisterTimer("step.target."+c.service, g.registry).Update(took)
	c.note(e, took, answer, err)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.state.finish(e, endUnsent)
		c.tried[e.id] = true
		c.unsent++
		if c.keyed {
			g.await(ctx, c, movingWait)
		}
		return nil
	case err != nil:
		return g.lost(ctx, c, e)
	case g.headers.notRun(answer):
		return g.notRun(c, e, answer)
	}
	c.arrivals++
	c.ran++
	if answer.Status < http.StatusInternalServerError {
		g.state.finish(e, endAnswered)
		g.state.harmless(c.content)
		return &outcome{answer: answer, status: answer.Status, reason: answered}
	}
	g.state.finish(e, endFailed)
	c.tried[e.id] = true
	c.last = answer
	c.failed = causeFailed
	if !c.route.Idempotent || answer.Status == http.StatusGatewayTimeout {
		out := c.giveUp("target failed", 0)
		return &out
	}
	return nil
}

// lost handles an answer that is lost: the request may have run.
func (g *Gateway) lost(ctx context.Context, c *call, e *attempt) *outcome {
	c.arrivals++
	c.ran++
	if endedByStop(ctx) {
		g.state.finish(e, endLeft)
		out := c.giveUp(errStopping.Error(), 0)
		return &out
	}
	if ctx.Err() != nil {
		g.state.finish(e, endLeft)
		return &outcome{status: 0, reason: "caller left"}
	}
	if time.Until(c.until) < leastLeft {
		g.state.finish(e, endLeft)
		out := c.timeOver()
		return &out
	}
	g.state.finish(e, endLost)
	c.failed = causeLost
	go g.checkCrash(c.content, e)
	c.tried[e.id] = true
	if !c.route.Idempotent {
		out := c.giveUp("answer lost", 0)
		return &out
	}
	return nil
}

// notRun handles the refusal of a request by its target.
func (g *Gateway) notRun(c *call, e *attempt, a *upstream.Answer) *outcome {
	c.arrivals++
	if g.headers.another(a, e.id) {
		g.state.displaced(e)
	}
	if a.Status == http.StatusMisdirectedRequest && c.keyed {
		g.state.finish(e, endLeft)
		g.state.noteMisdirected(c.service)
		// Only a later version of the leases can name another owner, or the same one anew.
		c.failed, c.misdirected = causeMisdirected, e.leases
		return nil
	}
	g.state.finish(e, endFailed)
	c.tried[e.id] = true
	c.failed = causeRefused
	c.shedFree = e.load < e.target.Slots
	if c.keyed && !c.shedFree {
		out := c.giveUp("owner is full", g.retryAfter(c))
		return &out
	}
	// An owner with free slots that refuses has no lasting reason: it may take
	// the request a moment later.
	return nil
}

// retryAfter returns when a place should be free.
// A target that refuses although it has free slots has no lasting reason.
func (g *Gateway) retryAfter(c *call) time.Duration {
	if c.shedFree {
		return soonRetry
	}
	g.state.mu.Lock()
	usual := g.state.usualLocked(c.service, c.route.Name)
	g.state.mu.Unlock()
	return min(max(usual, leastRetry), mostRetry)
}

// retryAfterLimit returns when to retry for a key that is hotter than its owner: the owner
// can do the requests that were refused in the time of one only over several.
func (g *Gateway) retryAfterLimit(c *call) time.Duration {
	part := 1.0
	if r := g.state.leases.Get(c.service); r != nil {
		part = r.LimitOf(c.key).Fraction()
	}
	return min(time.Duration(float64(g.retryAfter(c))/part), mostRetry)
}
