package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/decide/reach"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/upstream"
)

const (
	// probeTick is the interval at which lost paths and silent targets are looked for.
	probeTick = 50 * time.Millisecond
	// maxProbes bounds the dials in flight that no request waits for. When a lost path is back, the
	// targets behind it are dialled a few at a time.
	maxProbes = 8
	// probeTimeout bounds one of these dials.
	probeTimeout = 300 * time.Millisecond
)

// probePaths periodically dials targets to which the path is lost, or that are silent although requests
// wait there, until ctx ends. So no request has to find out whether a path works again.
func (g *Gateway) probePaths(ctx context.Context) {
	inFlight := make(chan struct{}, maxProbes+reach.MaxSuspects)
	for pause.For(ctx, probeTick) {
		for _, p := range g.state.pathsToProbe(maxProbes - len(inFlight)) {
			inFlight <- struct{}{}
			go func() {
				defer func() { <-inFlight }()
				err := g.dial(ctx, p.target)
				g.state.endProbe(p, err)
			}()
		}
	}
}

// probe is a dial that no request waits for.
type probe struct {
	target *targetState
	// suspected is set if the path to the target is not known to be lost.
	suspected bool
}

// endProbe records the end of a probe.
func (s *routingState) endProbe(p probe, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.suspected {
		s.vantage.EndSuspicion(err != nil && !upstream.IsLocal(err), s.clock.Now())
		return
	}
	p.target.path.EndProbe()
}

// dial opens a connection to a target, keeps it, and records what that shows of the path. A dial that ends
// with its context, or for want of this VM's own resources, shows nothing.
func (g *Gateway) dial(ctx context.Context, t *targetState) error {
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := g.clock.Now()
	err := t.pool.Connect(dialCtx)
	switch {
	case err == nil:
		g.state.recordReached(t, true)
	case ctx.Err() == nil && !upstream.IsLocal(err):
		g.state.recordDialFailure(t, began, err)
	}
	return err
}

// maxProbesWhileCutOff bounds the dials in flight of a VM that reaches no target. Two targets that answer
// show that it no longer is cut off.
const maxProbesWhileCutOff = 4

// pathsToProbe returns the targets to dial now, about as many as given at most.
func (s *routingState) pathsToProbe(most int) []probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.vantage.Recheck(len(s.targets), now) {
		// Targets that were not reached are no longer listed.
		s.handleVantageLocked(now)
	}
	var out []probe
	for _, id := range s.vantage.Suspect(s.waitingLocked(), now) {
		out = append(out, probe{target: s.targets[id], suspected: true})
	}
	if !s.vantage.CutOff() {
		for t := range s.lostPaths {
			if len(out) < most && t.path.BeginProbe(now) {
				out = append(out, probe{target: t})
			}
		}
		return out
	}
	most = min(most, maxProbesWhileCutOff)
	for _, t := range s.targets {
		if len(out) < most && (t.path.BeginProbe(now) || s.vantage.MustCheck(t.ID) && t.path.BeginCheck()) {
			out = append(out, probe{target: t})
		}
	}
	return out
}

// waitingLocked returns the targets at which requests wait and whose paths are not known to be lost. It
// needs s.mu.
func (s *routingState) waitingLocked() []reach.Waiting {
	var out []reach.Waiting
	for t := range s.inUse {
		if t.pick.Own > 0 && !t.path.Lost() && s.targets[t.ID] == t {
			out = append(out, reach.Waiting{Target: t.ID, Since: t.waitingSince, Expected: t.expected})
		}
	}
	return out
}
