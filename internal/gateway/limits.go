package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/upstream"
)

// targetLimit is what a VM knows of the limit that a target states, and what it has sent there.
type targetLimit struct {
	permit.Belief
	sent [sentKinds]permit.Window
	// order holds the VMs in the order in which they may hold the target's permits, as of version orderedBy of
	// the members. tenure is this VM's state as the holder.
	order     []string
	orderedBy uint64
	tenure    permit.Tenure
	// blocked holds, for requests that more urgent ones compete with (1) and others (0), until when the holder
	// grants no permits.
	blocked [2]time.Duration
	// announcedAt is when the other VMs were last told without delay.
	announcedAt time.Duration
}

// sentKind is a kind of requests to targets.
type sentKind int

// The kinds of requests to targets.
const (
	// sentOwn are requests of this VM's callers, sentForwarded those that it sends for other VMs.
	sentOwn sentKind = iota
	sentForwarded
	// sentInquiries are health checks that ask a target for its load.
	sentInquiries
	sentKinds
)

const (
	// limitReportInterval is the interval of the log lines on targets with a limit.
	limitReportInterval = time.Second
	// minAnnounceInterval is the minimum time between two announcements of the limit of a target.
	minAnnounceInterval = time.Second
	// maxLimitLines bounds the log lines per second on limits that change.
	maxLimitLines = 20
)

// limitMetrics counts the responses that state a limit, and those in which it cannot be read.
type limitMetrics struct {
	stated, malformed metrics.Counter
	// granted and denied count the requests for which this VM asked a permit, unheld those for which no VM
	// granted permits.
	granted, denied, unheld metrics.Counter
	lines                   *rate.Limiter
}

func newLimitMetrics(r metrics.Registry) limitMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("limits."+name, r) }
	return limitMetrics{
		stated: counter("stated"), malformed: counter("malformed"), granted: counter("granted"), denied: counter("denied"), unheld: counter("unheld"),
		lines: rate.NewLimiter(maxLimitLines, maxLimitLines),
	}
}

// sentKind returns the kind of the call's requests to targets.
func (c *call) sentKind() sentKind {
	if c.forwarded {
		return sentForwarded
	}
	return sentOwn
}

// recordLimit records what the response of an attempt says of the limit of its target. sentAt is when the request
// was sent.
func (g *Gateway) recordLimit(a *attempt, resp *upstream.Answer, sentAt time.Duration) {
	if !g.headers.fromOtherTarget(resp, a.id) {
		g.recordLimitOf(a.target, resp.Header, sentAt)
	}
}

// recordStatedLimit records a limit that a response states, if that names an incarnation known here. The response
// does not show the end of a limit, because it is not known when its request was sent, or whether such responses
// state limits.
func (g *Gateway) recordStatedLimit(target string, born int64, h http.Header) {
	g.state.mu.Lock()
	t := g.state.targets[target]
	g.state.mu.Unlock()
	if t != nil && (born == 0 || t.Born == born) {
		g.recordLimitOf(t, h, 0)
	}
}

func (g *Gateway) recordLimitOf(t *targetState, h http.Header, sentAt time.Duration) {
	perSecond, stated, err := g.adapter.Limit(h)
	if err != nil {
		g.limits.malformed.Inc(1)
		if g.limits.lines.Allow() {
			g.log.Warn().Str("step", "limits").Str("target", t.ID).Err(err).Msg("limit of a target not understood")
		}
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now, before := g.clock.Now(), t.limit.Belief
	changed := false
	if stated {
		g.limits.stated.Inc(1)
		g.state.limitKnown[t] = struct{}{}
		changed = t.limit.Stated(perSecond, g.self.VM, now)
	} else {
		changed = t.limit.NotStated(sentAt, g.self.VM, now)
	}
	if before.Limited != t.limit.Limited && now-t.limit.announcedAt >= minAnnounceInterval {
		t.limit.announcedAt = now
		g.state.announce()
	}
	if changed && t.limit.Limited {
		go g.tellHolder(t)
	}
	if changed && g.limits.lines.Allow() {
		g.log.Info().Str("step", "limits").Str("target", t.ID).Str("service", t.Service).Bool("limited", t.limit.Limited).Float64("perSecond", t.limit.PerSecond).
			Bool("limitedBefore", before.Limited).Float64("perSecondBefore", before.PerSecond).Dur("age", now-before.LastAt).Msg("limit of a target changed")
	}
}

// countSent counts a request that is sent to a target.
func (s *routingState) countSent(t *targetState, kind sentKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.limit.sent[kind].Add(s.clock.Now())
}

// limitedTargets returns the number of targets with a limit.
func (s *routingState) limitedTargets() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, t := range s.targets {
		if t.limit.Limited {
			n++
		}
	}
	return n
}

// reportLimits periodically logs the limits of targets beside what this VM has sent to them, until ctx ends.
func (g *Gateway) reportLimits(ctx context.Context) {
	for pause.For(ctx, limitReportInterval) {
		g.logLimits()
	}
}

func (g *Gateway) logLimits() {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now := g.clock.Now()
	for _, t := range g.state.targets {
		if !t.limit.Limited || !g.limits.lines.Allow() {
			continue
		}
		g.log.Info().Str("step", "limits").Str("target", t.ID).Str("service", t.Service).Float64("perSecond", t.limit.PerSecond).
			Dur("since", now-t.limit.FirstAt).Dur("age", now-t.limit.LastAt).Str("source", t.limit.Source).
			Int("own", t.limit.sent[sentOwn].Count(now)).Int("forwarded", t.limit.sent[sentForwarded].Count(now)).
			Int("inquiries", t.limit.sent[sentInquiries].Count(now)).Msg("requests to a target with a limit in 4 s")
	}
}

// maxUnreadHeaders bounds the names of response headers that are remembered.
const maxUnreadHeaders = 64

// unreadHeaders are the names of headers of targets' responses that no part of the gateway reads.
type unreadHeaders struct {
	mu    sync.Mutex
	known map[string]bool
	count metrics.Counter
}

func newUnreadHeaders(r metrics.Registry, read []string) *unreadHeaders {
	u := &unreadHeaders{known: make(map[string]bool), count: metrics.GetOrRegisterCounter("answers.headers", r)}
	for _, name := range append(read, "Cache-Control", "Connection", "Content-Length", "Content-Type", "Date", "Etag", "Keep-Alive", "Last-Modified", "Server", "Transfer-Encoding", "Vary") {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
	return u
}

// add returns the names in a response that are seen for the first time.
func (u *unreadHeaders) add(h http.Header) (seen []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range h {
		if !u.known[name] && len(u.known) < maxUnreadHeaders {
			u.known[name] = true
			seen = append(seen, name)
		}
	}
	u.count.Inc(int64(len(seen)))
	return seen
}

// noteHeaders logs the headers of a target's response that are seen for the first time and that nothing reads.
func (g *Gateway) noteHeaders(target string, h http.Header) {
	for _, name := range g.unreadHeaders.add(h) {
		g.log.Info().Str("step", "headers").Str("target", target).Str("header", name).Str("value", h.Get(name)).Msg("targets send a header that is not read")
	}
}
