package agent

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/model"
	"hemlockquay/internal/target"
)

const (
	// probeInterval is how often an assigner asks a target for its health: one
	// small call in two seconds for each target, by one agent of all.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one question.
	probeTimeout = time.Second
	// targetLostAfter is how long a target may not answer before it is given no new
	// role: three questions.
	targetLostAfter = 3*probeInterval + probeTimeout
)

// healthMonitor is what targets say of themselves to the assigner. The answers lag
// and may mislead; they decide who stands by, never who may serve. It is safe for
// concurrent use.
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

func newHealthMonitor() *healthMonitor {
	return &healthMonitor{clock: boottime.System{}, prober: target.NewProber(), targets: make(map[string]*healthRecord)}
}

// probe asks the service's targets that are due, without waiting.
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
			// Nobody probed for long: silence then says nothing of the target.
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

// status returns which status the service's targets leave or are silent, and the
// incarnations reported, by name.
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

// close drops idle connections.
func (h *healthMonitor) close() { h.prober.Close() }
