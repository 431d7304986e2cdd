package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/decide/signals"
	"hemlockquay/internal/upstream"
)

// responseKind is what a response of a target answers.
type responseKind string

// The kinds of responses.
const (
	// toRequest responses answer a request that this VM sent, for a caller of its own or for another VM.
	toRequest responseKind = "request"
	// toInquiry responses answer a health check.
	toInquiry responseKind = "inquiry"
	toOrder   responseKind = "order"
	// throughPeer responses answer a request that another VM sent for this one.
	throughPeer responseKind = "peer"
)

// neverSent stands for the time at which a request was sent, if its response must not end a limit.
const neverSent time.Duration = 0

// received says how a response came to this VM.
type received struct {
	kind responseKind
	// sentAt is when the request was sent, on the gateway's clock, or neverSent. It is set for toRequest and throughPeer.
	sentAt time.Duration
	// peer is the VM that sent the request, for throughPeer.
	peer string
}

const (
	// maxSignalLines bounds the log lines per second on what targets say of themselves.
	maxSignalLines = 20
)

// signalMetrics counts what responses say, by signal and kind of response.
type signalMetrics struct {
	registry metrics.Registry
	// malformed counts the signals that could not be read.
	malformed metrics.Counter
	lines     *rate.Limiter
}

func newSignalMetrics(r metrics.Registry) signalMetrics {
	return signalMetrics{registry: r, malformed: metrics.GetOrRegisterCounter("signals.malformed", r), lines: rate.NewLimiter(maxSignalLines, maxSignalLines)}
}

func (m *signalMetrics) count(signal string, kind responseKind) {
	metrics.GetOrRegisterCounter("signals."+signal+"."+string(kind), m.registry).Inc(1)
}

// applySignals applies what a response says of the incarnation of a target that sent it. Every response of a target
// passes through it. A response that names another target says nothing: the address may have been reassigned.
func (g *Gateway) applySignals(t *targetState, resp *upstream.Answer, from received) signals.Signals {
	g.noteHeaders(t.ID, resp.Header)
	s := g.adapter.Signals(resp)
	if s.Sender != "" && s.Sender != t.ID {
		return signals.Signals{Sender: s.Sender}
	}
	g.reportMalformed(t, &s)
	g.applyLimit(t, &s, g.showsEndOfLimit(resp, from))
	g.applyLeaving(t, &s, from)
	g.applyRefusal(t, resp, &s, from)
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.markWarmingLocked(t, s.WarmupLeft, warmingByHealth)
	if from.kind == toRequest || from.kind == toInquiry {
		// A failed response without a report does not show that the target reports none.
		if s.LoadReported || s.LoadErr == nil && resp.Status < http.StatusBadRequest {
			t.tellsLoad, g.state.tellsLoad[t.Service] = s.LoadReported, s.LoadReported
		}
	}
	return s
}

func (g *Gateway) reportMalformed(t *targetState, s *signals.Signals) {
	for _, err := range s.Errs() {
		g.signals.malformed.Inc(1)
		if g.signals.lines.Allow() {
			g.log.Warn().Str("step", "signals").Str("target", t.ID).Err(err).Msg("header of a target not understood")
		}
	}
	if s.LimitErr != nil {
		g.limits.malformed.Inc(1)
	}
	if s.LoadErr != nil {
		g.inquiries.malformed.Inc(1)
	}
}

// showsEndOfLimit returns when the request of a response was sent that ends a limit by not stating it, or neverSent. Only
// responses to requests that ran are known to state the limit.
func (g *Gateway) showsEndOfLimit(resp *upstream.Answer, from received) time.Duration {
	if from.kind != toRequest || g.headers.saysNotRun(resp) {
		return neverSent
	}
	return from.sentAt
}

// applyLimit records what a response says of the limit of a target. A response without a limit ends it if its request
// was sent, at sentAt, after the limit was last stated.
func (g *Gateway) applyLimit(t *targetState, s *signals.Signals, sentAt time.Duration) {
	if s.LimitErr != nil {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now, before := g.clock.Now(), t.limit.Belief
	changed := false
	if s.Limited {
		g.limits.stated.Inc(1)
		g.state.toReport[t] = struct{}{}
		changed = t.limit.Stated(s.PerSecond, g.self.VM, now)
	} else {
		changed = t.limit.NotStated(sentAt, g.self.VM, now)
	}
	t.limit.dropStaleBlocks(before)
	if before.Limited != t.limit.Limited {
		g.state.announceSoonLocked(t)
	}
	if changed && t.limit.Limited {
		go g.notifyHolder(t)
	}
	if changed {
		g.logLimitChange(t, before, now)
	}
}

func (g *Gateway) logLimitChange(t *targetState, before permit.Belief, now time.Duration) {
	if !g.limits.lines.Allow() {
		return
	}
	g.log.Info().Str("step", "limits").Str("target", t.ID).Str("service", t.Service).Bool("limited", t.limit.Limited).Float64("perSecond", t.limit.PerSecond).
		Bool("limitedBefore", before.Limited).Float64("perSecondBefore", before.PerSecond).Dur("age", now-before.LastAt).Msg("limit of a target changed")
}

// applyLeaving records that a target says that it leaves.
func (g *Gateway) applyLeaving(t *targetState, s *signals.Signals, from received) {
	if !s.Leaving {
		return
	}
	g.signals.count("leaving", from.kind)
	source := g.self.VM
	if from.kind == throughPeer {
		source = from.peer
	}
	g.state.markLeaving(t.ID, t.Born, source)
}

// applyRefusal records whether a target refused the request of a response, and for how long it wants none.
func (g *Gateway) applyRefusal(t *targetState, resp *upstream.Answer, s *signals.Signals, from received) {
	if s.Rest > 0 {
		g.signals.count("rest", from.kind)
	}
	notRun := g.headers.saysNotRun(resp)
	answersRequest := from.kind == toRequest || from.kind == throughPeer
	rest := s.Rest
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now := g.clock.Now()
	if from.kind == throughPeer {
		// The target has asked the other VM for a rest.
		t.pushback.Reported(from.peer, rest, now)
		rest = 0
	}
	switch {
	case rest > 0, answersRequest && notRun && resp.Status == http.StatusServiceUnavailable:
		before := t.pushback.VMs(now)
		began := t.pushback.Refused(rest, rand.Float64(), now)
		g.state.toReport[t] = struct{}{}
		if t.pushback.Report(now) > 0 && before < refusingVMs {
			g.state.announceSoonLocked(t)
		}
		if began && g.signals.lines.Allow() {
			g.log.Info().Str("step", "signals").Str("target", t.ID).Str("service", t.Service).Str("kind", string(from.kind)).Dur("rest", rest).
				Dur("left", t.pushback.Left(now)).Int("vms", t.pushback.VMs(now)).Msg("target refuses requests and is left alone")
		}
	case answersRequest && !notRun:
		if t.pushback.Served(from.sentAt, now) {
			g.state.markPartialLocked(t.Service, now)
		}
	}
}

// partialInterval is the minimum time between two marks of a service whose targets refuse a part of the requests. Each
// visits all targets.
const partialInterval = time.Second

// markPartialLocked records that targets of a service refuse only a part of the requests. It needs s.mu.
func (s *routingState) markPartialLocked(service string, now time.Duration) {
	if now-s.partialAt[service] < partialInterval {
		return
	}
	s.partialAt[service] = now
	for _, t := range s.targets {
		if t.Service == service {
			t.pushback.Partial(now)
		}
	}
}

// refusingVMs is the number of VMs whose requests a target refuses from which its keys get other owners: the refusals that
// one VM sees may be due to that VM. As many VMs announce it to all others; with more, each VM would.
const refusingVMs = 2

// markLeaving records that an incarnation of a target said to a VM, the source, that it leaves. Only its end ends that.
func (s *routingState) markLeaving(target string, born int64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.incarnationLocked(target, born)
	if t == nil || t.leavingAnnouncedAt > 0 || source != s.vm && t.Leaving {
		return
	}
	s.log.Info().Str("step", "signals").Str("target", target).Str("service", t.Service).Int64("born", born).Str("source", source).
		Bool("draining", t.Draining).Bool("known", t.Leaving).Msg("target says that it leaves")
	known := t.Leaving || t.Draining
	if s.membership.MarkLeaving(target, born) {
		s.publishLocked(source)
	}
	if source != s.vm {
		return
	}
	t.leavingAnnouncedAt = s.clock.Now()
	s.toReport[t] = struct{}{}
	if !known {
		s.announceSoonLocked(t)
	}
}

// countSentLocked counts a request that is sent to a target, and those that the target has asked this VM not to send. It
// needs s.mu.
func (s *routingState) countSentLocked(t *targetState, kind sentKind, now time.Duration) {
	t.sent[kind].Add(now)
	if t.leavingAnnouncedAt > 0 && now-t.leavingAnnouncedAt > drainingOwnerGrace {
		metrics.GetOrRegisterCounter("signals.ignored.leaving."+kind.String(), s.registry).Inc(1)
	}
	if t.pushback.Left(now) > 0 {
		metrics.GetOrRegisterCounter("signals.ignored.rest."+kind.String(), s.registry).Inc(1)
	}
}
