package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
)

// counters holds the metrics of request handling.
type counters struct {
	registry    metrics.Registry
	undelivered metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{registry: r, undelivered: metrics.GetOrRegisterCounter("answers.unread", r)}
}

// count counts an outcome by its status and reason.
func (c *counters) count(out outcome) {
	metrics.GetOrRegisterCounter("outcome."+strconv.Itoa(out.status)+"."+out.reason, c.registry).Inc(1)
}

// requestLogLimiter limits the rate of the log lines on requests. Under overload, logging a
// refusal costs more than the refusal itself. Failures have a limit of their own, so that
// successes cannot displace them. Omitted lines are counted.
type requestLogLimiter struct {
	successes, failures *rate.Limiter
	omitted             metrics.Counter
}

const (
	// maxSuccessLines and maxFailureLines are in lines per second. At about 20 µs per line, each
	// takes at most 0.5% of a core.
	maxSuccessLines = 200
	maxFailureLines = 200
)

func newRequestLogLimiter(r metrics.Registry) *requestLogLimiter {
	return &requestLogLimiter{
		successes: rate.NewLimiter(maxSuccessLines, maxSuccessLines), failures: rate.NewLimiter(maxFailureLines, maxFailureLines),
		omitted: metrics.GetOrRegisterCounter("log.requests.omitted", r),
	}
}

// allow reports whether an outcome may be logged.
func (l *requestLogLimiter) allow(out outcome) bool {
	limiter := l.failures
	if out.response != nil {
		limiter = l.successes
	}
	if limiter.Allow() {
		return true
	}
	l.omitted.Inc(1)
	return false
}

// logCall logs a finished request: its outcome, its attempts and the inputs of the decisions on
// it.
func (g *Gateway) logCall(c *call, out outcome) {
	took := time.Since(c.start)
	metrics.GetOrRegisterTimer("route."+c.route.Name+".time", g.registry).Update(took)
	if out.response != nil {
		g.counters.count(out)
	}
	if !g.requestLog.allow(out) {
		return
	}
	v := g.state.view.Load()
	e := g.log.Info().Str("step", "request").Str("id", c.id).Str("route", c.route.Name).Str("service", c.service).
		Int("status", out.status).Str("reason", out.reason).Dur("took", took).Strs("attempts", c.trace).
		Dur("waited", c.waited).Dur("unread", c.unread).Dur("patience", c.deadline.Sub(c.start)).Uint64("config", v.ConfigVersion()).Uint64("targets", v.Targets.Revision)
	if out.reason != reasonAnswered && c.refusedOn != "" {
		e = e.Str("refusedOn", c.refusedOn)
	}
	if c.decidedOn != "" {
		e = e.Str("decidedOn", c.decidedOn)
	}
	if c.keyed {
		e = e.Uint16("key", c.key)
		if r := g.state.leases.Get(c.service); r != nil {
			e = e.Uint64("epoch", r.Epoch).Uint64("seq", r.Seq)
		}
	}
	e.Msg("request ended")
}

// logNoRoute logs a request whose route is not known in the view v, with the versions that this VM knows.
func (g *Gateway) logNoRoute(r *http.Request, v *catalog.View, out outcome) {
	if !g.requestLog.allow(out) {
		return
	}
	g.log.Info().Str("step", "request").Str("id", r.Header.Get(g.headers.RequestID)).Str("host", r.Host).Str("path", pathOf(r.RequestURI)).
		Int("status", out.status).Str("reason", out.reason).Uint64("config", v.ConfigVersion()).Int64("configAge", g.state.ageMillis(g.state.lastConfigChange())).
		Int("routes", v.RouteCount()).Str("source", g.state.lastConfigSource()).Uint64("newest", max(g.state.announced.newest(), v.ConfigVersion())).
		Dur("lag", g.lag.worst(g.clock.Now())).
		Dur("confirmedFor", g.confirmations.age(g.adapter.ConfigID().Kind)).Msg("request without a route")
}

// viewDump is the gateway's section of the state dump.
type viewDump struct {
	ConfigVersion   uint64 `json:"configVersion"`
	TargetsRevision uint64 `json:"targetsRevision"`
	// AnnouncedConfig is the newest version of the configuration that other VMs have announced.
	AnnouncedConfig uint64 `json:"announcedConfig"`
	StoreUp         bool   `json:"storeUp"`
	// StoreCalls are the calls to the store that have no answer yet, oldest first.
	StoreCalls []pendingCall `json:"storeCalls"`
	// EvacuatedDataCentres are known as of the store's revision EvacuationsRevision.
	EvacuatedDataCentres []string         `json:"evacuatedDataCentres"`
	EvacuationsRevision  uint64           `json:"evacuationsRevision"`
	Members              []mesh.Member    `json:"members"`
	Targets              []targetDump     `json:"targets"`
	Leases               []*lease.Routing `json:"leases"`
	// Lines are the lines of requests for owners whose holder this VM is.
	Lines []lineDump `json:"lines,omitempty"`
}

// lineDump is the line of requests for one owner.
type lineDump struct {
	Target  string `json:"target"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

type targetDump struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Draining bool   `json:"draining"`
	// WarmingMs is for how long the target counts as cold, in milliseconds.
	WarmingMs int64   `json:"warmingMs,omitempty"`
	Own       int     `json:"own"`
	Others    int     `json:"others"`
	Slowness  float64 `json:"slowness"`
	// Limit is the limit that the target states, in requests per second, and LimitAgeMs its age in milliseconds.
	Limit      *float64 `json:"limit,omitempty"`
	LimitAgeMs int64    `json:"limitAgeMs,omitempty"`
	// Leaving reports whether the target has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// RestLeftMs is for how long this VM sends the target no requests, in milliseconds, and RestingVMs how many VMs do so.
	RestLeftMs int64 `json:"restLeftMs,omitempty"`
	RestingVMs int   `json:"restingVMs,omitempty"`
}

func (g *Gateway) dump() any {
	v := g.state.view.Load()
	out := viewDump{ConfigVersion: v.ConfigVersion(), TargetsRevision: v.Targets.Revision, StoreUp: g.storeUp.Load(), Members: g.mesh.Live(), Leases: g.state.leases.All()}
	out.AnnouncedConfig, out.StoreCalls = g.state.announced.newest(), g.pendingCalls.list(g.clock.Now())
	out.Lines = g.lines.dump()
	out.EvacuatedDataCentres, out.EvacuationsRevision = v.Evacuations.DataCentres, v.Evacuations.Revision
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now := g.clock.Now()
	for id, t := range g.state.targets {
		d := targetDump{
			ID: id, Service: t.Service, Draining: t.Draining, Own: t.pick.Own, Others: t.pick.Others, Slowness: t.pick.Slowness(),
			WarmingMs: max(0, (t.warming.until - now).Milliseconds()),
			Leaving:   t.Leaving || t.leavingAnnouncedAt > 0, RestLeftMs: t.pushback.Left(now).Milliseconds(), RestingVMs: t.pushback.VMs(now),
		}
		if t.limit.Limited {
			perSecond := t.limit.PerSecond
			d.Limit, d.LimitAgeMs = &perSecond, (now - t.limit.LastAt).Milliseconds()
		}
		out.Targets = append(out.Targets, d)
	}
	return out
}

// forwardMetrics counts the requests that other VMs were asked to send for this one, and those that this
// VM accepted or refused to send for others.
type forwardMetrics struct{ sent, accepted, refused metrics.Counter }

func newForwardMetrics(r metrics.Registry) forwardMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, r) }
	return forwardMetrics{sent: counter("sent"), accepted: counter("accepted"), refused: counter("refused")}
}

// logForwarded counts and logs a request that this VM sent for another one, or refused.
func (g *Gateway) logForwarded(in *ForwardArgs, out *ForwardReply, took time.Duration) {
	counter := g.forwardMetrics.accepted
	if out.Result == notSentByPeer {
		counter = g.forwardMetrics.refused
	}
	counter.Inc(1)
	if !g.requestLog.allow(outcome{}) {
		return
	}
	g.log.Info().Str("step", "forwarded").Str("id", in.ID).Str("peer", in.VM).Str("route", in.Route).Str("service", in.Service).
		Str("target", out.Target).Int("status", out.Status).Str("refusal", out.Refusal).Bool("lost", out.Result == lostByPeer).
		Dur("took", took).Dur("timeLeft", in.TimeLeft).Msg("request of another VM ended")
}

// trafficInterval is the interval between two log lines on this VM's traffic.
const trafficInterval = 10 * time.Second

// logTraffic periodically logs the bytes that this VM has sent to others, by method, and its calls to the
// store, by operation and kind, until ctx ends.
func (g *Gateway) logTraffic(ctx context.Context) {
	for pause.For(ctx, trafficInterval) {
		sent := peer.SentBytes()
		for method, n := range sent {
			metrics.GetOrRegisterGauge("peers.sentBytes."+method, g.registry).Update(n)
		}
		calls := make(map[string]int64)
		g.registry.Each(func(name string, m any) {
			if call, ok := strings.CutPrefix(name, storeCallsPrefix); ok {
				calls[call] = m.(metrics.Counter).Count()
			}
		})
		g.log.Info().Str("step", "traffic").Any("sentBytes", sent).Any("storeCalls", calls).Msg("bytes sent to other VMs and calls to the store")
	}
}
