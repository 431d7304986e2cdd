package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
)

// maxCrashes bounds the contents that are under suspicion.
const maxCrashes = 512

// crashCheckTimeout bounds the connection that reports whether a target lives.
const crashCheckTimeout = 300 * time.Millisecond

// suspicion is how long a target's end counts against a request. The same request
// comes again within seconds; an innocent one that ran beside it must not be
// refused for good.
const suspicion = 30 * time.Second

// suspect notes that a target was lost while it ran a request of this content.
func (s *routingState) suspect(content uint64, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.crashes[content]
	if set == nil {
		if len(s.crashes) >= maxCrashes {
			clear(s.crashes)
		}
		set = make(map[uint32]time.Duration)
		s.crashes[content] = set
	}
	set[catalog.Hash(target)] = s.clock.Now()
}

// harmless notes that a request of this content was answered.
func (s *routingState) harmless(content uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) > 0 {
		delete(s.crashes, content)
	}
}

// crashing reports whether a request's content ended too many targets.
// Targets that ended under a content are counted over all VMs, each once: many requests of one content
// may run on a target that ends for another reason.
func (s *routingState) crashing(content uint64, m *mesh.Mesh) bool {
	lost := make(map[uint32]bool)
	for _, target := range m.Crashes(content, suspicion) {
		lost[target] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fadeLocked(content)
	for target := range s.crashes[content] {
		lost[target] = true
	}
	return len(lost) >= crashLimit
}

// fadeLocked drops what is too long ago. It needs s.mu.
func (s *routingState) fadeLocked(content uint64) {
	now := s.clock.Now()
	for target, at := range s.crashes[content] {
		if now-at > suspicion {
			delete(s.crashes[content], target)
		}
	}
	if len(s.crashes[content]) == 0 {
		delete(s.crashes, content)
	}
}

// crashList returns the contents under suspicion.
func (s *routingState) crashList() []mesh.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mesh.Crash
	for content := range s.crashes {
		s.fadeLocked(content)
		c := mesh.Crash{Content: content}
		for target := range s.crashes[content] {
			c.Targets = append(c.Targets, target)
		}
		if len(c.Targets) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// checkCrash finds out whether a target that lost an answer is gone. A target
// that still takes connections lost the answer for another reason.
func (g *Gateway) checkCrash(content uint64, e *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if err := e.pool.Connect(ctx); err != nil {
		g.log.Warn().Str("step", "crash").Str("target", e.id).Uint64("content", content).Err(err).Msg("target ended while it ran the request")
		g.state.suspect(content, e.id)
	}
}
