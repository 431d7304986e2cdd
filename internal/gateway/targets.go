package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/upstream"
)

// updateTargets changes the list of targets, and publishes it if the change affects how targets are used. Publishing
// takes time that grows with the number of targets, on every VM.
func (s *routingState) updateTargets(source string, change func(m *catalog.TargetSet, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.membership.Version()
	change(s.membership, s.clock.Now())
	if s.membership.Version() != before {
		s.publishLocked(source)
	} else {
		view := *s.view.Load()
		view.Targets.Revision = s.membership.Revision()
		s.view.Store(&view)
	}
	for _, entry := range s.membership.TakeCold() {
		if t := s.targets[entry.ID]; t != nil && t.Born == entry.Born {
			s.markWarmingLocked(t, entry.WarmupLeft, warmingByEntry)
		}
	}
}

// targetsSince returns the changes to the list of targets since a revision. It returns false if
// they are not known.
func (s *routingState) targetsSince(revision uint64) (catalog.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership.ChangesSince(revision)
}

// publishLocked updates the view and the state of the targets after a change of the membership. It
// needs s.mu.
func (s *routingState) publishLocked(source string) {
	old := s.view.Load()
	view := catalog.NewView(old.Routes, s.membership.Snapshot(), s.evacuations)
	for i := range view.Targets.List {
		s.trackLocked(view.Targets.List[i], source)
	}
	for id, t := range s.targets {
		if view.ByID[id] == nil {
			s.log.Info().Str("step", "targets").Str("target", id).Str("service", t.Service).Str("source", source).Msg("target gone")
			t.pool.Close()
			s.untrackLocked(t)
		}
	}
	s.view.Store(view)
	s.chooseSubsetsLocked()
	s.notifyChangedLocked()
	if source == sourceStore {
		s.announce()
	}
}

// trackLocked adds a target or updates it. A new incarnation starts without statistics, and
// without the connections of the last one, which no longer lead to it. It needs s.mu.
func (s *routingState) trackLocked(t catalog.Target, source string) {
	old := s.targets[t.ID]
	if old != nil && old.Born == t.Born && old.Addr == t.Addr {
		if old.Draining != t.Draining || old.Leaving != t.Leaving {
			s.log.Info().Str("step", "targets").Str("target", t.ID).Str("service", t.Service).
				Bool("draining", t.Draining).Bool("leaving", t.Leaving).Uint64("revision", t.Revision).Str("source", source).Msg("target changed")
		}
		if t.Draining && !old.Draining {
			old.drainsUntil = s.clock.Now() + drainingOwnerGrace
		}
		old.Target = t
		old.pick.Slots = t.Slots
		return
	}
	if old != nil {
		old.pool.Close()
		s.untrackLocked(old)
	}
	s.log.Info().Str("step", "targets").Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Int64("born", t.Born).
		Bool("draining", t.Draining).Uint64("revision", t.Revision).Str("source", source).Msg("target known")
	added := &targetState{
		Target: t, hash: catalog.Hash(t.ID),
		pool: upstream.NewPool(t.Addr, metrics.GetOrRegisterCounter("connections.opened", s.registry)).From(s.source).OpenWith(s.openConn).Within(s.answerMemory).ReportTo(s.brokenAnswers).
			Of(s.targetConns).LimitedTo(func() int { return s.maxConns(t.Service) }),
		pick: pick.State{Slots: t.Slots, Near: t.DataCentre == s.dataCentre}, inFlight: make(map[*attempt]context.CancelFunc),
	}
	added.tellsLoad = s.tellsLoad[t.Service]
	s.markReturnedLocked(added)
	if t.Draining {
		added.drainsUntil = s.clock.Now() + drainingOwnerGrace
	}
	s.restoreSignalsLocked(added)
	s.targets[t.ID] = added
	s.byHash[mesh.LoadKey(added.hash)] = added
}

// maxConns returns the number of connections that a target of a service accepts, or 0 if that is not known.
func (s *routingState) maxConns(service string) int {
	if routes := s.view.Load().Routes; routes != nil {
		return routes.Config().Services[service].MaxConns
	}
	return 0
}

// untrackLocked removes a target. It needs s.mu.
func (s *routingState) untrackLocked(t *targetState) {
	s.keepSignalsLocked(t)
	delete(s.targets, t.ID)
	delete(s.inUse, t)
	delete(s.lostPaths, t)
	delete(s.toReport, t)
	if key := mesh.LoadKey(t.hash); s.byHash[key] == t {
		delete(s.byHash, key)
	}
}

// drainingOwnerGrace is how long an owner may still get requests for its keys that drains, or has said to this VM
// that it leaves, if they have no other owner. Targets must not get any after two seconds.
const drainingOwnerGrace = 1500 * time.Millisecond
