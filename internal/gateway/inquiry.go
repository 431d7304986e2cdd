package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/loadreport"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/upstream"
)

const (
	// inquiryTimeout bounds an inquiry. Targets answer it at once.
	inquiryTimeout = 60 * time.Millisecond
	// minInquiryTimeLeft is the remaining time of a request below which no target is asked.
	minInquiryTimeLeft = 2 * inquiryTimeout
	// minInquiryWork is the usual duration of requests below which asking takes too long in comparison.
	minInquiryWork = 20 * time.Millisecond
)

// inquiryMetrics counts the inquiries by their outcome.
type inquiryMetrics struct{ accepted, declined, failed, malformed metrics.Counter }

func newInquiryMetrics(r metrics.Registry) inquiryMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("inquiries."+name, r) }
	return inquiryMetrics{accepted: counter("accepted"), declined: counter("declined"), failed: counter("failed"), malformed: counter("malformed")}
}

// recordLoadReport records what a response says of its target's load. A failure that says nothing does not
// show that the target never does.
func (g *Gateway) recordLoadReport(t *targetState, resp *upstream.Answer) (r loadreport.Report, stated bool) {
	r, stated, err := g.adapter.LoadReport(resp.Header)
	if err != nil {
		g.inquiries.malformed.Inc(1)
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	if stated || err == nil && resp.Status < http.StatusBadRequest {
		t.tellsLoad, g.state.tellsLoad[t.Service] = stated, stated
	}
	return r, stated
}

// discoverLoadReports asks one target of each service of which that is not known whether it tells its load. A
// VM with few requests would not find out for a long time.
func (g *Gateway) discoverLoadReports(ctx context.Context) {
	for _, t := range g.state.undiscoveredTargets() {
		askCtx, cancel := context.WithTimeout(ctx, inquiryTimeout)
		resp, err := t.pool.Exchange(askCtx, g.healthRequest(t), upstream.AnyConn)
		cancel()
		if err != nil || g.headers.fromOtherTarget(resp, t.ID) {
			// The responses to requests will show it.
			g.state.assumeNoLoadReports(t.Service)
			continue
		}
		g.recordLoadReport(t, resp)
	}
}

// undiscoveredTargets returns a target of each pool of which it is not known whether the targets tell their
// load.
func (s *routingState) undiscoveredTargets() []*targetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*targetState
	for service, p := range s.pools {
		_, known := s.tellsLoad[service]
		if list := p.subset.targets; !known && len(list) > 0 && s.serviceLocked(service).HealthPath != "" {
			s.startIndex++
			out = append(out, list[s.startIndex%len(list)])
		}
	}
	return out
}

// assumeNoLoadReports records that the targets of a service do not tell their load, unless it is known that
// they do.
func (s *routingState) assumeNoLoadReports(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.tellsLoad[service]; !known {
		s.tellsLoad[service] = false
	}
}

// allTellLoadLocked reports whether the targets of all pools tell their load. It needs s.mu.
func (s *routingState) allTellLoadLocked() bool {
	for service := range s.pools {
		if !s.tellsLoad[service] && !s.serviceLocked(service).Keyed {
			return false
		}
	}
	return len(s.pools) > 0
}

// mayAsk reports whether the target of an attempt should be asked for its load before it gets the request.
func (g *Gateway) mayAsk(a *attempt, timeLeft time.Duration) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return a.target.tellsLoad && a.usual >= minInquiryWork && timeLeft >= minInquiryTimeLeft
}

// ask asks the target of an attempt for its load.
func (g *Gateway) ask(ctx context.Context, a *attempt) (loadreport.Report, error) {
	askCtx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	resp, err := a.pool.Exchange(askCtx, g.healthRequest(a.target), a.conn)
	g.state.recordEvidence(askCtx, a, err)
	if err != nil {
		g.inquiries.failed.Inc(1)
		if askCtx.Err() != nil && ctx.Err() == nil {
			g.checkPath(a.target)
		}
		return loadreport.Report{}, err
	}
	if g.headers.fromOtherTarget(resp, a.id) {
		g.state.markDisplaced(a)
		return loadreport.Report{}, errDisplaced
	}
	g.state.recordWarmupLeft(a.target, g.adapter.WarmupLeft(resp.Header))
	r, stated := g.recordLoadReport(a.target, resp)
	if !stated {
		return r, errNoLoadReport
	}
	a.rounds = r.Rounds(a.work())
	return r, nil
}

// checkPath dials a target that left an inquiry unanswered, since the inquiry ends before a dial shows
// whether the target is reached.
func (g *Gateway) checkPath(t *targetState) {
	g.state.mu.Lock()
	begun := t.path.BeginCheck()
	g.state.mu.Unlock()
	if !begun {
		return
	}
	go func() {
		err := g.dial(g.ctx, t)
		g.state.endProbe(probe{target: t}, err)
	}()
}

var (
	errDisplaced    = errors.New("another target has the address")
	errNoLoadReport = errors.New("no report of load in the response")
)

// healthRequest returns the request by which a target is asked for its load.
func (g *Gateway) healthRequest(t *targetState) *upstream.Request {
	g.state.mu.Lock()
	path := g.state.serviceLocked(t.Service).HealthPath
	g.state.mu.Unlock()
	return &upstream.Request{Method: http.MethodGet, URI: path, Host: t.Addr, Header: http.Header{g.headers.TargetID: {t.ID}}, IDHeader: g.headers.RequestID}
}

// reserveAskedFromPool reserves a target of a pool. Targets that tell their load are asked for it, up to
// loadreport.MaxAsked of them, until one accepts.
func (g *Gateway) reserveAskedFromPool(ctx context.Context, c *call, timeLeft time.Duration) (*attempt, refusal) {
	excluded := c.excluded()
	var best *attempt
	var bestExpected time.Duration
	for asked := 0; ; {
		a, reason := g.state.reserveFromPool(c.service, c.route, excluded, timeLeft, g.clock.Now())
		if a == nil {
			if best != nil {
				return best, notRefused
			}
			return nil, reason
		}
		if !g.mayAsk(a, timeLeft) {
			g.release(best)
			return a, notRefused
		}
		if asked == 0 {
			excluded = maps.Clone(excluded)
		}
		asked++
		excluded[a.id] = true
		report, err := g.ask(ctx, a)
		switch {
		case errors.Is(err, upstream.ErrNotSent):
			g.finishUnsent(c, a, err)
		case errors.Is(err, errNoLoadReport):
			g.release(best)
			return a, notRefused
		case err != nil:
			g.state.finish(a, resultAbandoned)
		case report.Accepts(a.work(), c.route.Objective):
			g.inquiries.accepted.Inc(1)
			g.release(best)
			return a, notRefused
		case !report.Suits(a.work(), c.route.Objective, timeLeft):
			g.inquiries.declined.Inc(1)
			g.release(a)
		default:
			g.inquiries.declined.Inc(1)
			if expected := report.Expected(a.work()); best == nil || expected < bestExpected {
				g.release(best)
				best, bestExpected = a, expected
			} else {
				g.release(a)
			}
		}
		switch {
		case best != nil && (ctx.Err() != nil || asked >= loadreport.MaxAsked):
			return best, notRefused
		case ctx.Err() != nil || asked >= 2*loadreport.MaxAsked:
			return nil, refusedFull
		case c.connectFailures > maxConnectFailures:
			return nil, refusedUnreached
		}
	}
}

// release ends an attempt that was not sent.
func (g *Gateway) release(a *attempt) {
	if a != nil {
		g.state.finish(a, resultAbandoned)
	}
}

// work returns how long requests run on the target while its machine is as usual.
func (a *attempt) work() loadreport.Work {
	return loadreport.Work{Own: time.Duration(float64(a.usual) * a.slowness), Mean: time.Duration(float64(a.mean) * a.slowness)}
}

// consultOwner asks the reserved owner of a key, if it tells its load, whether it has room for the request. It
// returns ready if the request is to be sent. Otherwise the reservation has ended: with the outcome of the
// request, or without one if the owner is to be looked up again.
func (g *Gateway) consultOwner(ctx context.Context, c *call, a *attempt, timeLeft time.Duration) (ready bool, out *outcome) {
	if !g.mayAsk(a, timeLeft) {
		return true, nil
	}
	report, err := g.ask(ctx, a)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.finishUnsent(c, a, err)
		return false, nil
	case ctx.Err() != nil:
		g.release(a)
		return false, c.endedBy(ctx)
	case errors.Is(err, errDisplaced):
		g.release(a)
		return false, nil
	case err != nil:
		return true, nil
	}
	switch g.judge(c, a, report, timeLeft) {
	case loadreport.Wait:
		g.inquiries.declined.Inc(1)
		g.release(a)
		if !g.awaitRoom(ctx, c) {
			return false, c.endedBy(ctx)
		}
		return false, nil
	case loadreport.Refuse:
		g.inquiries.declined.Inc(1)
		g.release(a)
		c.refusedOn = describeReport(a, report)
		refused := c.giveUp(string(refusedFull), g.retryAfter(c))
		return false, &refused
	}
	g.inquiries.accepted.Inc(1)
	return true, nil
}

// judge decides about a request by what its owner has said.
func (g *Gateway) judge(c *call, a *attempt, report loadreport.Report, timeLeft time.Duration) loadreport.Verdict {
	v := report.Judge(a.work(), timeLeft)
	switch {
	case v == loadreport.Refuse:
		return v
	case a.cold && !report.HasFreeSlot():
		return loadreport.Refuse
	case g.state.isLongWork(a, c.route.Objective):
		return report.JudgeLong(a.work(), c.route.Objective, c.waitedForRoom)
	}
	return v
}

// describeReport returns what a target has said, for the log line of a refusal.
func describeReport(a *attempt, r loadreport.Report) string {
	return fmt.Sprintf("%s runs %d waiting %d slots %d slowness %.2f", a.id, r.Running, r.Waiting, r.Slots, r.Slowness)
}

// awaitRoom waits before an owner without room is asked again. It reports whether the request may go on.
func (g *Gateway) awaitRoom(ctx context.Context, c *call) bool {
	began := time.Now()
	ok := pause.For(ctx, loadreport.PollInterval/2+rand.N(loadreport.PollInterval))
	c.waitedForRoom += time.Since(began)
	return ok
}

// isLongWork reports whether a request occupies its target for longer than callers of other routes to the
// service are willing to wait.
func (s *routingState) isLongWork(a *attempt, objective time.Duration) bool {
	routes := s.view.Load().Routes
	return routes != nil && loadreport.LongWork(a.usual, routes.ShorterObjective(a.service, objective))
}
