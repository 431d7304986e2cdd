package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
)

// maxSuspectDigests bounds the number of requests that are suspected of crashing targets.
const maxSuspectDigests = 512

// crashRetention is how long a crashed target counts against a request. Callers retry within
// seconds. A harmless request that was running on the same target must not be refused
// indefinitely.
const crashRetention = 30 * time.Second

// recordCrash records that a target crashed while it ran a request with this digest.
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

// clearCrashes forgets the crashes under requests with this digest, after one of them got a
// response.
func (s *routingState) clearCrashes(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) > 0 {
		delete(s.crashes, digest)
	}
}

// crashesTargets reports whether too many targets crashed under requests with this digest. Crashes
// are counted over all VMs, and each target once: many identical requests may be running on one
// target that crashes for another reason.
func (s *routingState) crashesTargets(digest uint64, m *mesh.Mesh) bool {
	crashed := make(map[uint32]bool)
	for _, target := range m.Crashes(digest, crashRetention) {
		crashed[target] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredCrashesLocked(digest)
	for target := range s.crashes[digest] {
		crashed[target] = true
	}
	return len(crashed) >= maxCrashedTargets
}

// dropExpiredCrashesLocked drops the crashes that are older than crashRetention. It needs s.mu.
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

// recentCrashes returns the digests of suspected requests with the targets that crashed under
// them.
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

// recordCrashIfDown records a crash if a target that lost a response accepts connections neither from
// this VM nor from another. If it does, the response was lost for another reason, such as the path of
// this VM.
func (g *Gateway) recordCrashIfDown(digest uint64, a *attempt) {
	err := g.dial(context.Background(), a.target)
	if err == nil || g.state.cutOff() || g.reachedByOthers(context.Background(), []string{a.id}) > 0 {
		return
	}
	g.log.Warn().Str("step", "crash").Str("target", a.id).Uint64("content", digest).Err(err).Msg("target ended while it ran the request")
	g.state.recordCrash(digest, a.id)
}
