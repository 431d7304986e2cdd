package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
)

// maxSuspectDigests bounds the contents that are under suspicion.
const maxSuspectDigests = 512

// crashCheckTimeout bounds the connection that reports whether a target lives.
const crashCheckTimeout = 300 * time.Millisecond

// crashRetention is how long a target's end counts against a request. The same request
// comes again within seconds; an innocent one that ran beside it must not be
// refused for good.
const crashRetention = 30 * time.Second

// recordCrash notes that a target was lost while it ran a request of this content.
func (s *routingState) recordCrash(digest uint64, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.crashes[digest]
	if set == nil {
		if len(s.crashes) >= maxSuspectDigests {
			clear(s.crashes)
		}
		set = make(map[uint32]time.Duration)
		s.crashes[digest] = set
	}
	set[catalog.Hash(target)] = s.clock.Now()
}

// clearCrashes notes that a request of this content was answered.
func (s *routingState) clearCrashes(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) > 0 {
		delete(s.crashes, digest)
	}
}

// crashesTargets reports whether a request's content ended too many targets.
// Targets that ended under a content are counted over all VMs, each once: many requests of one content
// may run on a target that ends for another reason.
func (s *routingState) crashesTargets(digest uint64, m *mesh.Mesh) bool {
	lost := make(map[uint32]bool)
	for _, target := range m.Crashes(digest, crashRetention) {
		lost[target] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredCrashesLocked(digest)
	for target := range s.crashes[digest] {
		lost[target] = true
	}
	return len(lost) >= maxCrashedTargets
}

// dropExpiredCrashesLocked drops what is too long ago. It needs s.mu.
func (s *routingState) dropExpiredCrashesLocked(digest uint64) {
	now := s.clock.Now()
	for target, at := range s.crashes[digest] {
		if now-at > crashRetention {
			delete(s.crashes[digest], target)
		}
	}
	if len(s.crashes[digest]) == 0 {
		delete(s.crashes, digest)
	}
}

// recentCrashes returns the contents under suspicion.
func (s *routingState) recentCrashes() []mesh.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mesh.Crash
	for digest := range s.crashes {
		s.dropExpiredCrashesLocked(digest)
		c := mesh.Crash{Content: digest}
		for target := range s.crashes[digest] {
			c.Targets = append(c.Targets, target)
		}
		if len(c.Targets) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// recordCrashIfDown finds out whether a target that lost an answer is gone. A target
// that still takes connections lost the answer for another reason.
func (g *Gateway) recordCrashIfDown(digest uint64, e *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if err := e.pool.Connect(ctx); err != nil {
		g.log.Warn().Str("step", "crash").Str("target", e.id).Uint64("content", digest).Err(err).Msg("target ended while it ran the request")
		g.state.recordCrash(digest, e.id)
	}
}
