package gateway

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// counters are the figures of the front.
type counters struct {
	registry metrics.Registry
	unread   metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{registry: r, unread: metrics.GetOrRegisterCounter("answers.unread", r)}
}

// count counts an outcome by its reason and status.
func (c *counters) count(out outcome) {
	metrics.GetOrRegisterCounter("outcome."+strconv.Itoa(out.status)+"."+out.reason, c.registry).Inc(1)
}

// requestLines bounds the log lines on requests.
// In overload a line for each refusal costs more than the refusal. Requests without success have a bound
// of their own, so that successes cannot crowd them out. Omitted lines are counted.
type requestLines struct {
	served, failed *rate.Limiter
	omitted        metrics.Counter
}

const (
	// servedLines and failedLines are lines a second: at about 20 microseconds a
	// line they take at most 0.5% of a core each.
	servedLines = 200
	failedLines = 200
)

func newRequestLines(r metrics.Registry) *requestLines {
	return &requestLines{
		served: rate.NewLimiter(servedLines, servedLines), failed: rate.NewLimiter(failedLines, failedLines),
		omitted: metrics.GetOrRegisterCounter("log.requests.omitted", r),
	}
}

// allow reports whether a line may be written for an outcome.
func (l *requestLines) allow(out outcome) bool {
	bound := l.failed
	if out.answer != nil {
		bound = l.served
	}
	if bound.Allow() {
		return true
	}
	l.omitted.Inc(1)
	return false
}

// logCall writes the line of a request: what it was, what decided it, what became
// of it.
func (g *Gateway) logCall(c *call, out outcome) {
	took := time.Since(c.start)
	metrics.GetOrRegisterTimer("route."+c.route.Name+".time", g.registry).Update(took)
	if out.answer != nil {
		g.counters.count(out)
	}
	if !g.lines.allow(out) {
		return
	}
	v := g.state.view.Load()
	e := g.log.Info().Str("step", "request").Str("id", c.id).Str("route", c.route.Name).Str("service", c.service).
		Int("status", out.status).Str("reason", out.reason).Dur("took", took).Strs("attempts", c.trace).
		Dur("waited", c.waited).Dur("patience", c.until.Sub(c.start)).Uint64("config", v.ConfigVersion()).Uint64("targets", v.Targets.Revision)
	if out.reason != answered && c.refusedOn != "" {
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

// viewDump is what the VM believes, for the dump.
type viewDump struct {
	ConfigVersion   uint64           `json:"configVersion"`
	TargetsRevision uint64           `json:"targetsRevision"`
	StoreUp         bool             `json:"storeUp"`
	Members         []mesh.Member    `json:"members"`
	Targets         []targetDump     `json:"targets"`
	Leases          []*lease.Routing `json:"leases"`
}

type targetDump struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Draining bool    `json:"draining"`
	Own      int     `json:"own"`
	Others   int     `json:"others"`
	Slowness float64 `json:"slowness"`
}

func (g *Gateway) dump() any {
	v := g.state.view.Load()
	out := viewDump{ConfigVersion: v.ConfigVersion(), TargetsRevision: v.Targets.Revision, StoreUp: g.storeUp.Load(), Members: g.mesh.Live(), Leases: g.state.leases.All()}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	for id, t := range g.state.targets {
		out.Targets = append(out.Targets, targetDump{
			ID: id, Service: t.Service, Draining: t.Draining, Own: t.pick.Own, Others: t.pick.Others, Slowness: t.pick.Slowness(),
		})
	}
	return out
}
