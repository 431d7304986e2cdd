package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/pause"
)

// noRepeats is the reason of a refusal for want of repeats.
const noRepeats = "no repeats left"

// cause is how the arrival failed after which a request is sent again.
type cause string

// The causes of repeats.
const (
	// causeMisdirected: the target does not hold the key, and no later version of the leases is known.
	causeMisdirected cause = "misdirected"
	// causeMoved: the target did not hold the key, and a later version of the leases is known.
	causeMoved cause = "moved"
	// causeRefused: the target did not run it.
	causeRefused cause = "refused"
	// causeLost: the answer was lost.
	causeLost cause = "lost"
	// causeFailed: the target answered without success.
	causeFailed cause = "failed"
)

var causes = []cause{causeMisdirected, causeMoved, causeRefused, causeLost, causeFailed}

// repeat takes a repeat of a request from the service's budget, and counts it by its cause.
func (g *Gateway) repeat(c *call) repeats.Decision {
	now, vms := g.clock.Now(), g.fleetSize()
	g.state.mu.Lock()
	d := g.state.budgetLocked(c.service).Repeat(g.state.limit, vms, now)
	g.state.mu.Unlock()
	if d.Granted {
		g.repeatCounter(c.service, g.causeOf(c)).Inc(1)
	}
	return d
}

// fleetSize returns how many VMs there are; 0 until the store or another VM has named them.
func (g *Gateway) fleetSize() int {
	if !g.joined.Load() {
		return 0
	}
	return g.mesh.Size()
}

// causeOf returns the cause of a repeat, as it is now.
func (g *Gateway) causeOf(c *call) cause {
	if c.failed != causeMisdirected {
		return c.failed
	}
	if r := g.state.leases.Get(c.service); r != nil && r.After(c.misdirected.Epoch, c.misdirected.Seq) {
		return causeMoved
	}
	return causeMisdirected
}

func (g *Gateway) repeatCounter(service string, why cause) metrics.Counter {
	return metrics.GetOrRegisterCounter("repeats."+service+"."+string(why), g.registry)
}

// budgetLocked needs s.mu.
func (s *routingState) budgetLocked(service string) *repeats.Budget {
	b := s.budgets[service]
	if b == nil {
		b = new(repeats.Budget)
		s.budgets[service] = b
	}
	return b
}

// reportEvery is the time between two log lines on the repeats of a service.
const reportEvery = time.Second

// reportRepeats shows the budgets of repeats as metrics, and logs those that were used.
func (g *Gateway) reportRepeats(ctx context.Context) {
	logged := make(map[string]int64)
	for pause.For(ctx, reportEvery) {
		for service, d := range g.budgetStates() {
			metrics.GetOrRegisterGaugeFloat64("repeats."+service+".saved", g.registry).Update(d.Saved)
			metrics.GetOrRegisterGaugeFloat64("repeats."+service+".most", g.registry).Update(d.Most)
			if total := g.repeatsOf(service); total != logged[service] {
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
		out[service] = b.State(g.state.limit, vms, now)
	}
	return out
}

// repeatsOf returns how often this process has sent a request for a service again.
func (g *Gateway) repeatsOf(service string) (total int64) {
	for _, why := range causes {
		total += g.repeatCounter(service, why).Count()
	}
	return total
}

// logRepeats writes a service's repeats by cause since the process began, and its budget.
func (g *Gateway) logRepeats(service string, d repeats.Decision) {
	e := g.log.Info().Str("step", "repeats").Str("service", service).Str("budget", d.String())
	for _, why := range causes {
		if n := g.repeatCounter(service, why).Count(); n > 0 {
			e = e.Int64(string(why), n)
		}
	}
	e.Msg("repeats")
}
