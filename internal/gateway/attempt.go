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
func (n *node) run(ctx context.Context, c *call) outcome {
	for {
		left := time.Until(c.until)
		if left < leastLeft {
			return c.timeOver()
		}
		if n.state.crashing(c.content, n.mesh) {
			return c.giveUp("request ends the targets that run it", mostRetry)
		}
		e, why := n.choose(c, left)
		if why == refusedMoving && n.await(ctx, c, movingWait) {
			continue
		}
		if why == refusedLost {
			return c.giveUp(string(why), left/lostRetry)
		}
		if e == nil {
			return c.giveUp(string(why), n.retryAfter(c))
		}
		if n.outlasts(c, e, left) {
			n.state.finish(e, endLeft)
			return c.giveUp(string(refusedLeaving), soonRetry)
		}
		if c.arrivals > 0 && !n.state.repeat(c.service, n.mesh.Size(), n.clock.Now()) {
			n.state.finish(e, endLeft)
			return c.giveUp("no repeats left", n.retryAfter(c))
		}
		if out := n.attempt(ctx, c, e, left); out != nil {
			return *out
		}
		if c.ran >= max(c.route.MaxTargets, 1) || c.arrivals > c.route.MaxTargets+1 || c.unsent > unsentMost {
			return c.giveUp("attempts used up", n.retryAfter(c))
		}
	}
}

func (n *node) choose(c *call, left time.Duration) (*attempt, refusal) {
	if c.keyed {
		e, why, about := n.state.chooseOwner(c.service, c.route, c.key, left)
		c.refusedOn = about
		return e, why
	}
	return n.state.chooseFromPool(c.service, c.route, c.tried, left, n.clock.Now())
}

// await waits for news of leases or targets and tells whether to look again.
func (n *node) await(ctx context.Context, c *call, most time.Duration) bool {
	left := min(most-c.waited, time.Until(c.until)-leastLeft)
	if left <= 0 {
		return false
	}
	n.state.mu.Lock()
	changed := n.state.changed
	n.state.mu.Unlock()
	begin := time.Now()
	defer func() {
		waited := time.Since(begin)
		c.waited += waited
		metrics.GetOrRegisterTimer("step.keywait", n.registry).Update(waited)
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
func (n *node) attempt(ctx context.Context, c *call, e *attempt, left time.Duration) *outcome {
	c.request.Header.Set(n.headers.TargetID, e.id)
	c.request.Header.Set(n.headers.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	sendCtx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	answer, err := e.pool.Exchange(sendCtx, c.request, upstream.AnyConn)
	took := time.Since(e.sent)
	metrics.GetOrRegisterTimer("step.target."+c.service, n.registry).Update(took)
	c.note(e, took, answer, err)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		n.state.finish(e, endUnsent)
		c.tried[e.id] = true
		c.unsent++
		if c.keyed {
			n.await(ctx, c, movingWait)
		}
		return nil
	case err != nil:
		return n.lost(ctx, c, e)
	case n.headers.notRun(answer):
		return n.notRun(ctx, c, e, answer)
	}
	c.arrivals++
	c.ran++
	if answer.Status < http.StatusInternalServerError {
		n.state.finish(e, endAnswered)
		n.state.harmless(c.content)
		return &outcome{answer: answer, status: answer.Status, reason: "answered"}
	}
	n.state.finish(e, endFailed)
	c.tried[e.id] = true
	c.last = answer
	if !c.route.Idempotent || answer.Status == http.StatusGatewayTimeout {
		out := c.giveUp("target failed", 0)
		return &out
	}
	return nil
}

// lost takes in that the answer is lost: the request may have run.
func (n *node) lost(ctx context.Context, c *call, e *attempt) *outcome {
	c.arrivals++
	c.ran++
	if ctx.Err() != nil {
		n.state.finish(e, endLeft)
		return &outcome{status: 0, reason: "caller left"}
	}
	if time.Until(c.until) < leastLeft {
		n.state.finish(e, endLeft)
		out := c.timeOver()
		return &out
	}
	n.state.finish(e, endLost)
	go n.checkCrash(c.content, e)
	c.tried[e.id] = true
	if !c.route.Idempotent {
		out := c.giveUp("answer lost", 0)
		return &out
	}
	return nil
}

// notRun takes in that the target has refused the request.
func (n *node) notRun(ctx context.Context, c *call, e *attempt, a *upstream.Answer) *outcome {
	c.arrivals++
	if n.headers.another(a, e.id) {
		n.state.displaced(e)
	}
	if a.Status == http.StatusMisdirectedRequest && c.keyed {
		n.state.finish(e, endLeft)
		if !n.await(ctx, c, movingWait) {
			out := c.giveUp(string(refusedMoving), n.retryAfter(c))
			return &out
		}
		return nil
	}
	n.state.finish(e, endFailed)
	c.tried[e.id] = true
	c.shedFree = e.load < e.target.Slots
	if c.keyed && !c.shedFree {
		out := c.giveUp("owner is full", n.retryAfter(c))
		return &out
	}
	// An owner with free slots that refuses has no lasting reason: it may take
	// the request a moment later.
	return nil
}

// retryAfter returns when a place should be free.
//
// Load pattern: targets refuse a part of their requests though they have free slots. A
// caller that waits for a place that is free already comes too late for its objective.
func (n *node) retryAfter(c *call) time.Duration {
	if c.shedFree {
		return soonRetry
	}
	n.state.mu.Lock()
	usual := n.state.usualLocked(c.service, c.route.Name)
	n.state.mu.Unlock()
	return min(max(usual, leastRetry), mostRetry)
}
