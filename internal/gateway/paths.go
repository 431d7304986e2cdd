package gateway

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"hemlockquay/internal/decide/reach"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/upstream"
)

// recordEvidence records what an attempt showed of the path to its target. An attempt that ended
// with its context shows nothing.
func (s *routingState) recordEvidence(ctx context.Context, a *attempt, err error) {
	began := s.clock.Now() - time.Since(a.sent)
	switch {
	case err == nil:
		s.recordReached(a.target, false)
	case ctx.Err() != nil:
	case upstream.IsLocal(err):
	case errors.Is(err, upstream.ErrNotSent):
		s.recordDialFailure(a.target, began, err)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		a.target.path.AnswerLost()
	}
}

// recordReached records an answer of a target, or, if opened is set, that a connection to it was
// opened.
func (s *routingState) recordReached(t *targetState, opened bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	lost, lostFor := t.path.Lost(), t.path.LostFor(now)
	t.waitingSince = now
	if opened {
		t.path.Opened(now)
		delete(s.lostPaths, t)
		t.pick.Reached()
	} else {
		t.path.Answered(now)
	}
	if lost && !t.path.Lost() {
		s.log.Info().Str("step", "paths").Str("target", t.ID).Dur("lostFor", lostFor).Msg("target reached again")
	}
	if s.vantage.Reached(t.ID, now) || s.vantage.Recheck(len(s.targets), now) {
		s.handleVantageLocked(now)
	}
}

// recordDialFailure records a dial of a target that began at the given time and failed.
func (s *routingState) recordDialFailure(t *targetState, began time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	since, answered := t.path.SinceAnswer(now)
	changed := t.path.DialFailed(began, now, dialFailure(err))
	if s.targets[t.ID] == t {
		s.lostPaths[t] = struct{}{}
	}
	if t.path.Silent() {
		t.abortAttempts()
	}
	if changed {
		reaching, others := s.reachedBy(t.hash)
		e := s.log.Info().Str("step", "paths").Str("target", t.ID).Str("service", t.Service).Err(err).
			Int("reachedBy", reaching).Int("otherVMs", others)
		if answered {
			e = e.Dur("sinceAnswer", since)
		}
		e.Msg("target not reached")
		if s.vantage.DialFailed(t.ID, len(s.targets), began, now) {
			s.handleVantageLocked(now)
		}
	}
}

// abortIfSilent has the attempt aborted when its target turns out to be silent, so that the request can be
// sent again through another VM. The returned function ends that.
func (s *routingState) abortIfSilent(a *attempt, abort context.CancelFunc) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.target.inFlight[a] = abort
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(a.target.inFlight, a)
	}
}

func (t *targetState) abortAttempts() {
	for _, abort := range t.inFlight {
		abort()
	}
}

// handleVantageLocked logs a change of the conclusion whether this VM is cut off, and announces it
// to the other VMs. It needs s.mu.
func (s *routingState) handleVantageLocked(now time.Duration) {
	s.announce()
	if s.vantage.CutOff() {
		for _, t := range s.targets {
			t.abortAttempts()
		}
	}
	s.log.Warn().Str("step", "paths").Bool("cutOff", s.vantage.CutOff()).Int("lost", s.vantage.LostTargets()).
		Dur("sinceAnswer", s.vantage.SinceAnswer(now)).Msg("cut off from all targets, or connected again")
}

// dialFailure classifies the error of a dial.
func dialFailure(err error) reach.Failure {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return reach.Refused
	}
	return reach.TimedOut
}

// describePathLocked returns what this VM and the others know of the path to a target, for the log.
// It needs s.mu.
func (s *routingState) describePathLocked(t *targetState, now time.Duration) string {
	reaching, others := s.reachedBy(t.hash)
	return fmt.Sprintf("unreached for %dms, reached by %d of %d other VMs", t.path.LostFor(now).Milliseconds(), reaching, others)
}

// usableLocked returns the connections to a target that a request may use. It needs s.mu.
func (s *routingState) usableLocked(t *targetState) reach.Usable {
	if s.vantage.CutOff() {
		return reach.NoConn
	}
	return t.path.Usable()
}

// pathLostLocked reports whether this VM opens no connections to a target. It needs s.mu.
func (s *routingState) pathLostLocked(t *targetState) bool {
	return s.vantage.CutOff() || t.path.Lost()
}

// cutOff reports whether this VM counts as cut off from all targets.
func (s *routingState) cutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vantage.CutOff()
}

// unreachedTargets returns the hashes of the targets to which dials fail, for heartbeats.
func (s *routingState) unreachedTargets() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []uint32
	for t := range s.lostPaths {
		out = append(out, t.hash)
	}
	return mesh.Unreached(out)
}
