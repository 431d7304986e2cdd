package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/pause"
)

// targetLimit is what a VM knows of the limit that a target states.
type targetLimit struct {
	permit.Belief
	// order holds the VMs in the order in which they may hold the target's permits, as of version orderedBy of
	// the VMs. tenure is this VM's state as the holder.
	order     []string
	orderedBy uint64
	tenure    permit.Tenure
	// blocked holds, for requests that more urgent ones compete with (1) and others (0), until when the holder
	// grants no permits.
	blocked [2]time.Duration
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

// String returns the name of the kind in metrics.
func (k sentKind) String() string { return [...]string{"own", "forwarded", "inquiry"}[k] }

const (
	// limitReportInterval is the interval of the log lines on targets with a limit.
	limitReportInterval = time.Second
	// maxLimitLines bounds the log lines per second on limits that change.
	maxLimitLines = 20
)

// limitMetrics counts the responses that state a limit, and those in which it cannot be read.
type limitMetrics struct {
	stated, malformed metrics.Counter
	// granted and denied count the requests for which this VM asked for a permit, noHolder those for which no VM
	// answered as the holder.
	granted, denied, noHolder metrics.Counter
	lines                     *rate.Limiter
}

func newLimitMetrics(r metrics.Registry) limitMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("limits."+name, r) }
	return limitMetrics{
		stated: counter("stated"), malformed: counter("malformed"), granted: counter("granted"), denied: counter("denied"), noHolder: counter("noHolder"),
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

// incarnation returns the incarnation of a target that started at the given time, or nil if it is not known here.
func (s *routingState) incarnation(target string, born int64) *targetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationLocked(target, born)
}

// incarnationLocked is incarnation for callers that hold s.mu.
func (s *routingState) incarnationLocked(target string, born int64) *targetState {
	if t := s.targets[target]; t != nil && t.Born == born {
		return t
	}
	return nil
}

// dropStaleBlocks drops the holder's refusals if the limit was raised since.
func (l *targetLimit) dropStaleBlocks(before permit.Belief) {
	if l.PerSecond > before.PerSecond {
		l.blocked = [2]time.Duration{}
	}
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
			Int("own", t.sent[sentOwn].Count(now)).Int("forwarded", t.sent[sentForwarded].Count(now)).
			Int("inquiries", t.sent[sentInquiries].Count(now)).Msg("requests to a target with a limit in 4 s")
	}
}
