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
	// hintEvery is how often an assigner asks a target for its health: one
	// small call in two seconds for each target, by one agent of all.
	hintEvery = 2 * time.Second
	// hintTimeout bounds one question.
	hintTimeout = time.Second
	// lostAfter is how long a target may not answer before it is given no new
	// role: three questions.
	lostAfter = 3*hintEvery + hintTimeout
)

// targetHints is what targets say of themselves to the assigner. The answers lag
// and may mislead; they decide who stands by, never who may serve. It is safe for
// concurrent use.
type targetHints struct {
	clock  boottime.Clock
	prober *target.Prober

	mu      sync.Mutex
	targets map[string]*targetHint // by address
}

type targetHint struct {
	health   target.Health
	asked    time.Duration
	answered time.Duration
}

func newTargetHints() *targetHints {
	return &targetHints{clock: boottime.System{}, prober: target.NewProber(), targets: make(map[string]*targetHint)}
}

// probe asks the service's targets that are due, without waiting.
func (h *targetHints) probe(ctx context.Context, s *model.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, t := range s.Targets {
		hint := h.targets[t.Addr]
		if hint == nil {
			hint = &targetHint{answered: now}
			h.targets[t.Addr] = hint
		} else if now-hint.asked < hintEvery {
			continue
		}
		if now-hint.asked > 2*lostAfter {
			// Nobody probed for long: silence then says nothing of the target.
			hint.answered = now
		}
		hint.asked = now
		go h.probeOne(ctx, t.Addr, hint)
	}
}

func (h *targetHints) probeOne(ctx context.Context, addr string, hint *targetHint) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	health, err := h.prober.Health(ctx, addr)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	hint.health, hint.answered = health, h.clock.Now()
}

// of returns which of the service's targets leave or are silent, and the
// incarnations reported, by name.
func (h *targetHints) of(s *model.Service) (leaving, lost map[string]bool, incarnations map[string]string) {
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
		lost[t.Name] = now-hint.answered > lostAfter
		incarnations[t.Name] = hint.health.Incarnation
	}
	return leaving, lost, incarnations
}

// close drops idle connections.
func (h *targetHints) close() { h.prober.Close() }
