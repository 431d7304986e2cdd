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

	"hemlockquay/internal/caller"
	"hemlockquay/internal/decide/loadreport"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/upstream"
)

const (
	// inquiryTimeout bounds an inquiry. Targets answer it at once, but a VM with a sixth of a core may need tens of
	// milliseconds to read the answer.
	inquiryTimeout = 60 * time.Millisecond
	// maxUnansweredInquiries is the number of unanswered inquiries for a request to the owner of its key. A single
	// one may be lost with its connection.
	maxUnansweredInquiries = 2
)

// inquiryMetrics counts the inquiries by their outcome.
type inquiryMetrics struct{ accepted, declined, failed, malformed metrics.Counter }

func newInquiryMetrics(r metrics.Registry) inquiryMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("inquiries."+name, r) }
	return inquiryMetrics{accepted: counter("accepted"), declined: counter("declined"), failed: counter("failed"), malformed: counter("malformed")}
}

// discoverLoadReports sends a health check to one target of each service for which this VM does not know whether
// targets report their load. A VM with few requests would keep frequent heartbeats for a long time otherwise.
func (g *Gateway) discoverLoadReports(ctx context.Context) {
	for _, t := range g.state.undiscoveredTargets() {
		askCtx, cancel := context.WithTimeout(ctx, inquiryTimeout)
		resp, err := t.pool.Exchange(askCtx, g.healthRequest(askCtx, t), upstream.AnyConn)
		cancel()
		if errors.Is(err, upstream.ErrWithheld) {
			continue
		}
		if err != nil || g.headers.fromOtherTarget(resp, t.ID) {
			// The responses to requests will show it.
			g.state.assumeNoLoadReports(t.Service)
			continue
		}
		g.applySignals(t, resp, received{kind: toInquiry})
		resp.Release()
	}
}

// undiscoveredTargets returns one target of each service for which this VM does not know whether targets report
// their load.
func (s *routingState) undiscoveredTargets() []*targetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*targetState
	for service, p := range s.pools {
		_, known := s.tellsLoad[service]
		if list := p.subset.targets; !known && len(list) > 0 && s.serviceLocked(service).HealthPath != "" {
			s.startIndex++
			if t := list[s.startIndex%len(list)]; !t.limit.Limited {
				out = append(out, t)
			}
		}
	}
	return out
}

// assumeNoLoadReports records that the targets of a service report no load, unless it is known that they do.
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

// tellsLoad reports whether the target of an attempt reports its load. Such a target is asked before each request:
// heartbeats omit the requests at it, so a VM that did not ask would know of its own requests only.
func (g *Gateway) tellsLoad(a *attempt) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	// The permit of a request to a target with a limit does not cover an inquiry.
	return a.target.tellsLoad && !a.target.limit.Limited
}

// ask asks the target of an attempt for its load. At least half of the remaining time is kept for the request.
func (g *Gateway) ask(ctx context.Context, a *attempt, timeLeft time.Duration) (loadreport.Report, error) {
	askCtx, cancel := context.WithTimeout(ctx, min(inquiryTimeout, timeLeft/2))
	defer cancel()
	resp, err := a.pool.Exchange(askCtx, g.healthRequest(askCtx, a.target), a.conn)
	if errors.Is(err, upstream.ErrWithheld) {
		return loadreport.Report{}, errNotAdmitted
	}
	g.state.recordEvidence(askCtx, a, err)
	if err != nil {
		g.inquiries.failed.Inc(1)
		if askCtx.Err() != nil && ctx.Err() == nil {
			g.checkPath(a.target)
		}
		return loadreport.Report{}, err
	}
	defer resp.Release()
	if g.headers.fromOtherTarget(resp, a.id) {
		g.state.markDisplaced(a)
		return loadreport.Report{}, errDisplaced
	}
	said := g.applySignals(a.target, resp, received{kind: toInquiry})
	if !said.LoadReported {
		return loadreport.Report{}, errNoLoadReport
	}
	r := said.Load
	a.rounds, a.reportedSlowness = r.Rounds(a.work()), r.Slowness
	return r, nil
}

// checkPath dials a target that did not answer an inquiry. An inquiry times out before a dial fails, so it shows
// nothing of the path.
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
	errNotAdmitted  = errors.New("target wants no requests")
)

// healthRequest returns the request by which a target is asked for its load.
func (g *Gateway) healthRequest(ctx context.Context, t *targetState) *upstream.Request {
	g.state.mu.Lock()
	path := g.state.serviceLocked(t.Service).HealthPath
	g.state.mu.Unlock()
	return &upstream.Request{Method: http.MethodGet, URI: path, Host: t.Addr, Header: http.Header{g.headers.TargetID: {t.ID}}, IDHeader: g.headers.RequestID, Advisory: true, MaxAnswer: upstream.SmallAnswer,
		MaySend: func() bool { return caller.Check(ctx) == nil && g.state.admit(t, sentInquiries) == notRefused }}
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
		if !g.tellsLoad(a) {
			g.release(best)
			return a, notRefused
		}
		if asked == 0 {
			excluded = maps.Clone(excluded)
		}
		asked++
		excluded[a.id] = true
		report, err := g.ask(ctx, a, timeLeft)
		switch {
		case errors.Is(err, upstream.ErrNotSent):
			g.finishUnsent(c, a, err)
		case errors.Is(err, errNoLoadReport):
			g.release(best)
			return a, notRefused
		case err != nil:
			g.release(a)
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
		case best != nil && (caller.Check(ctx) != nil || asked >= loadreport.MaxAsked):
			return best, notRefused
		case caller.Check(ctx) != nil || asked >= loadreport.MaxAskedWhileFull:
			return nil, refusedFull
		case c.connectFailures > maxConnectFailures:
			return nil, refusedUnreached
		}
	}
}

// release ends an attempt that was not sent.
func (g *Gateway) release(a *attempt) {
	if a != nil {
		g.state.finish(a, resultReleased)
	}
}

// work returns the service times of requests at the target without its reported slowness.
func (a *attempt) work() loadreport.Work {
	return loadreport.Work{Own: time.Duration(float64(a.usual) * a.slowness), Mean: time.Duration(float64(a.mean) * a.slowness)}
}

// consultOwner asks the reserved owner of a key for its load, if it reports it. It returns ready if the request
// may be sent. Otherwise it has released the reservation and returns the outcome of the request, or nil if the
// caller must look up the owner again.
func (g *Gateway) consultOwner(ctx context.Context, c *call, a *attempt, timeLeft time.Duration) (ready bool, out *outcome) {
	if !g.tellsLoad(a) {
		return true, nil
	}
	report, err := g.ask(ctx, a, timeLeft)
	ended := caller.Check(ctx)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.finishUnsent(c, a, err)
		return false, nil
	case ended != nil:
		g.release(a)
		return false, c.endedBy(ended)
	case errors.Is(err, errDisplaced), errors.Is(err, errNotAdmitted):
		g.release(a)
		return false, nil
	case errors.Is(err, errNoLoadReport):
		return true, nil
	case err != nil:
		return g.handleUnansweredInquiry(c, a)
	}
	switch g.judge(c, a, report, timeLeft) {
	case loadreport.Wait:
		g.inquiries.declined.Inc(1)
		g.release(a)
		if !g.awaitFreeSlot(ctx, c) {
			return false, c.endedBy(caller.Check(ctx))
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

// handleUnansweredInquiry decides about a request whose owner did not answer an inquiry in time. The owner is looked
// up and asked a second time. If that fails too, an idempotent request is sent, because the delay may be on this
// VM. Any other request is refused: it could not be repeated if the owner is down.
func (g *Gateway) handleUnansweredInquiry(c *call, a *attempt) (ready bool, out *outcome) {
	c.unansweredInquiries++
	switch {
	case c.unansweredInquiries < maxUnansweredInquiries:
		g.release(a)
		return false, nil
	case c.route.Idempotent:
		return true, nil
	}
	g.release(a)
	refused := c.giveUp(reasonSilentOwner, immediateRetryAfter)
	return false, &refused
}

// reasonSilentOwner is the reason of a refusal because the owner of the key does not answer inquiries.
const reasonSilentOwner = "owner does not answer"

// judge decides about a request by the report of its owner.
func (g *Gateway) judge(c *call, a *attempt, report loadreport.Report, timeLeft time.Duration) loadreport.Verdict {
	v := report.Judge(a.work(), timeLeft)
	switch {
	case v == loadreport.Refuse:
		return v
	case a.cold && !report.HasFreeSlot():
		return loadreport.Refuse
	case g.state.isLongWork(a, c.route.Objective):
		return report.JudgeLong(a.work(), c.route.Objective, c.waitedForSlot)
	}
	return v
}

// describeReport returns the report of a target for the log line of a refusal.
func describeReport(a *attempt, r loadreport.Report) string {
	return fmt.Sprintf("%s runs %d waiting %d slots %d slowness %.2f", a.id, r.Running, r.Waiting, r.Slots, r.Slowness)
}

// awaitFreeSlot pauses before an owner without a free slot is asked again. It returns false if ctx ends.
func (g *Gateway) awaitFreeSlot(ctx context.Context, c *call) bool {
	began := time.Now()
	ok := pause.For(ctx, loadreport.PollInterval/2+rand.N(loadreport.PollInterval))
	c.waitedForSlot += time.Since(began)
	return ok
}

// isLongWork reports whether requests of another route to the service would be late if they waited for this one.
func (s *routingState) isLongWork(a *attempt, objective time.Duration) bool {
	routes := s.view.Load().Routes
	return routes != nil && loadreport.LongWork(a.usual, routes.ShorterObjective(a.service, objective))
}
