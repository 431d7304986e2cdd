package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/pause"
)

// reasonNoRepeats is the reason of a refusal because the repeat budget is used up.
const reasonNoRepeats = "no repeats left"

// repeatCause says how an attempt failed that is followed by a repeat.
type repeatCause string

// The causes of repeats.
const (
	// causeMisdirected: the target does not hold the key, and no later version of the leases is known.
	causeMisdirected repeatCause = "misdirected"
	// causeMoved: the target did not hold the key, and a later version of the leases is known.
	causeMoved repeatCause = "moved"
	// causeRefused: the target did not run the request.
	causeRefused repeatCause = "refused"
	// causeLost: the response was lost.
	causeLost repeatCause = "lost"
	// causeFailed: the target responded with a server error.
	causeFailed repeatCause = "failed"
)

var repeatCauses = []repeatCause{causeMisdirected, causeMoved, causeRefused, causeLost, causeFailed}

// takeRepeat takes one repeat from the service's budget and counts it by its cause.
func (g *Gateway) takeRepeat(c *call) repeats.Decision {
	now, vms := g.clock.Now(), g.fleetSize()
	g.state.mu.Lock()
	d := g.state.budgetLocked(c.service).TakeRepeat(g.state.repeatLimit, vms, now)
	g.state.mu.Unlock()
	if d.Granted {
		g.repeatCounter(c.service, g.repeatCauseOf(c)).Inc(1)
	}
	return d
}

// fleetSize returns the number of VMs, or 0 until the list of VMs was received.
func (g *Gateway) fleetSize() int {
	if !g.joined.Load() {
		return 0
	}
	return g.mesh.Size()
}

// repeatCauseOf returns the cause of the repeat that is about to be sent.
func (g *Gateway) repeatCauseOf(c *call) repeatCause {
	if c.lastFailure != causeMisdirected {
		return c.lastFailure
	}
	if r := g.state.leases.Get(c.service); r != nil && r.After(c.misdirectedBy.Epoch, c.misdirectedBy.Seq) {
		return causeMoved
	}
	return causeMisdirected
}

func (g *Gateway) repeatCounter(service string, cause repeatCause) metrics.Counter {
	return metrics.GetOrRegisterCounter("repeats."+service+"."+string(cause), g.registry)
}

// budgetLocked returns the repeat budget of a service. It needs s.mu.
func (s *routingState) budgetLocked(service string) *repeats.Budget {
	b := s.budgets[service]
	if b == nil {
		b = new(repeats.Budget)
		s.budgets[service] = b
	}
	return b
}

// repeatsReportInterval is the interval of the metrics and log lines on repeats.
const repeatsReportInterval = time.Second

// reportRepeats periodically updates the metrics of the repeat budgets and logs the services that
// had repeats.
func (g *Gateway) reportRepeats(ctx context.Context) {
	logged := make(map[string]int64)
	for pause.For(ctx, repeatsReportInterval) {
		for service, d := range g.budgetStates() {
			metrics.GetOrRegisterGaugeFloat64("repeats."+service+".saved", g.registry).Update(d.Saved)
			metrics.GetOrRegisterGaugeFloat64("repeats."+service+".most", g.registry).Update(d.MaxSaved)
			if total := g.repeatCount(service); total != logged[service] {
				logged[service] = total
				g.logRepeats(service, d)
			}
		}
	}
}

func (g *Gateway) budgetStates() map[string]repeats.Decision {
	now, vms := g.clock.Now(), g.fleetSize()
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	out := make(map[string]repeats.Decision, len(g.state.budgets))
	for service, b := range g.state.budgets {
		out[service] = b.State(g.state.repeatLimit, vms, now)
	}
	return out
}

// repeatCount returns the number of repeats that this process has sent to a service.
func (g *Gateway) repeatCount(service string) (total int64) {
	for _, cause := range repeatCauses {
		total += g.repeatCounter(service, cause).Count()
	}
	return total
}

// logRepeats logs the repeats of a service by cause since the start of the process, and its
// budget.
func (g *Gateway) logRepeats(service string, d repeats.Decision) {
	e := g.log.Info().Str("step", "repeats").Str("service", service).Str("budget", d.String())
	for _, cause := range repeatCauses {
		if n := g.repeatCounter(service, cause).Count(); n > 0 {
			e = e.Int64(string(cause), n)
		}
	}
	e.Msg("repeats")
}
