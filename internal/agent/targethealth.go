package agent

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/model"
	"hemlockquay/internal/target"
)

const (
	// probeInterval is how often the assigner requests a target's health: one small request per
	// target every two seconds, from one agent of the system.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one health request.
	probeTimeout = time.Second
	// targetLostAfter is how long a target may leave health requests unanswered before it gets no
	// new role. It spans three requests.
	targetLostAfter = 3*probeInterval + probeTimeout
)

// healthMonitor holds the health that targets report to the assigner. The reports may be out of
// date or wrong. They only decide which targets become standbys, never which target may serve. It
// is safe for concurrent use.
type healthMonitor struct {
	clock  boottime.Clock
	prober *target.Prober

	mu      sync.Mutex
	targets map[string]*healthRecord // by address
}

type healthRecord struct {
	health     target.Health
	probedAt   time.Duration
	answeredAt time.Duration
}

func newHealthMonitor(broken *answers.Log) *healthMonitor {
	return &healthMonitor{clock: boottime.System{}, prober: target.NewProber().ReportTo(broken), targets: make(map[string]*healthRecord)}
}

// probe requests the health of those targets of the service that are due, without waiting for the
// answers.
func (h *healthMonitor) probe(ctx context.Context, s *model.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, t := range s.Targets {
		record := h.targets[t.Addr]
		if record == nil {
			record = &healthRecord{answeredAt: now}
			h.targets[t.Addr] = record
		} else if now-record.probedAt < probeInterval {
			continue
		}
		if now-record.probedAt > 2*targetLostAfter {
			// No agent probed the target for a long time, so missing answers say nothing about
			// it.
			record.answeredAt = now
		}
		record.probedAt = now
		go h.probeOne(ctx, t.Addr, record)
	}
}

func (h *healthMonitor) probeOne(ctx context.Context, addr string, record *healthRecord) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := h.prober.Health(ctx, addr)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	record.health, record.answeredAt = health, h.clock.Now()
}

// status returns, by name, which of the service's targets are leaving, which did not answer for
// too long, and which incarnations they reported.
func (h *healthMonitor) status(s *model.Service) (leaving, lost map[string]bool, incarnations map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	leaving, lost, incarnations = make(map[string]bool), make(map[string]bool), make(map[string]string)
	now := h.clock.Now()
	for _, t := range s.Targets {
		hint := h.targets[t.Addr]
		if hint == nil {
			continue
		}
		leaving[t.Name] = hint.health.Leaving
		lost[t.Name] = now-hint.answeredAt > targetLostAfter
		incarnations[t.Name] = hint.health.Incarnation
	}
	return leaving, lost, incarnations
}

// close closes idle connections.
func (h *healthMonitor) close() { h.prober.Close() }
