package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// evacuatedOwnerGrace is how long an owner in an evacuated data centre may still get requests for its keys
// while they move. It counts from the time at which the first VM learned of the evacuation, so a VM that learns
// of it later has less.
const evacuatedOwnerGrace = 1500 * time.Millisecond

// watchEvacuations keeps the evacuated data centres up to date.
func (g *Gateway) watchEvacuations(ctx context.Context) {
	// The heartbeats of other VMs carry the evacuations. When the list of targets is known, this VM has joined
	// them, and reads the evacuations from the store only if too few others do.
	for (g.evacuateWithin.Load() == 0 || !g.listed.Load()) && pause.For(ctx, watchCheckInterval) {
	}
	o := g.evacuationObjects()
	go g.keepConfirmed(ctx, o)
	g.watch(ctx, o)
}

// evacuationObjects returns the evacuations.
func (g *Gateway) evacuationObjects() watchedObjects {
	return watchedObjects{
		kind: g.adapter.EvacuationKind(),
		list: func(l platform.Listing) {
			var dataCentres []string
			for _, o := range l.Objects {
				dataCentres = append(dataCentres, o.Name)
			}
			g.state.setEvacuations(catalog.NewEvacuations(l.Revision, dataCentres), nil, sourceStore)
		},
		change: func(c platform.Changes) {
			for _, ev := range c.Events {
				g.state.changeEvacuations(func(e catalog.Evacuations) catalog.Evacuations {
					return e.With(ev.Object.Name, ev.Type == platform.EventPut, ev.Revision)
				}, nil, sourceStore)
			}
		},
		revision: func() uint64 { return g.state.view.Load().Evacuations.Revision },
	}
}

// setEvacuations replaces the evacuations if the given ones are later. ages holds the time since other VMs
// learned of them, by data centre.
func (s *routingState) setEvacuations(next catalog.Evacuations, ages map[string]time.Duration, source string) {
	s.changeEvacuations(func(catalog.Evacuations) catalog.Evacuations { return next }, ages, source)
}

// changeEvacuations applies a change unless the result is not later than what is known. ages is as for
// setEvacuations.
func (s *routingState) changeEvacuations(change func(catalog.Evacuations) catalog.Evacuations, ages map[string]time.Duration, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.evacuations
	next := change(old)
	if next.Revision <= old.Revision {
		return
	}
	s.evacuations = next
	metrics.GetOrRegisterGauge("evacuations.datacentres", s.registry).Update(int64(len(next.DataCentres)))
	if slices.Equal(old.DataCentres, next.DataCentres) {
		view := *s.view.Load()
		view.Evacuations = next
		s.view.Store(&view)
		return
	}
	s.log.Warn().Str("step", "evacuation").Str("dataCentres", strings.Join(next.DataCentres, " ")).Str("before", strings.Join(old.DataCentres, " ")).
		Uint64("revision", next.Revision).Str("source", source).Msg("evacuated data centres changed")
	s.recordEvacuationChangeLocked(old, next, ages)
	s.publishLocked(source)
}

// recordEvacuationChangeLocked records when data centres were evacuated and taken back. It needs s.mu.
func (s *routingState) recordEvacuationChangeLocked(old, next catalog.Evacuations, ages map[string]time.Duration) {
	now := s.clock.Now()
	for _, dc := range next.DataCentres {
		if _, known := s.evacuatedAt[dc]; known {
			continue
		}
		s.evacuatedAt[dc] = now - ages[dc]
		if old.Revision == 0 {
			// This VM has just started. The evacuation may be old.
			s.evacuatedAt[dc] = now - max(evacuatedOwnerGrace, ages[dc])
		}
	}
	for _, dc := range old.DataCentres {
		if !next.Contains(dc) {
			delete(s.evacuatedAt, dc)
			s.recordReturnLocked(dc, dataCentreReturn{revision: next.Revision, at: now})
		}
	}
}

// evacuationDueLocked reports whether a target is in a data centre that must get no more requests, also for
// keys that have no other owner yet. It needs s.mu.
func (s *routingState) evacuationDueLocked(t *targetState, now time.Duration) bool {
	at, evacuated := s.evacuatedAt[t.DataCentre]
	return evacuated && now >= at+evacuatedOwnerGrace
}

// dataCentreReturn is the end of an evacuation. The targets may have turned cold shortly before.
type dataCentreReturn struct {
	// revision is the store's revision as of which the data centre was found to be taken back.
	revision uint64
	at       time.Duration
}

// recordReturnLocked records that a data centre was taken back, unless a later return is known, and that its
// targets may be cold. It needs s.mu.
func (s *routingState) recordReturnLocked(dc string, r dataCentreReturn) {
	if r.revision <= s.returns[dc].revision {
		return
	}
	s.returns[dc] = r
	for _, t := range s.targets {
		if t.DataCentre == dc {
			s.markReturnedLocked(t)
		}
	}
}

// markReturnedLocked marks a target as cold if its data centre was taken back within the service's warm-up
// time. It needs s.mu.
func (s *routingState) markReturnedLocked(t *targetState) {
	if r, known := s.returns[t.DataCentre]; known {
		s.markWarmingLocked(t, r.at+s.serviceLocked(t.Service).Warmup-s.clock.Now(), warmingByReturn)
	}
}

// maxReturnAge is how long the return of a data centre is told to other VMs. It exceeds every warm-up time.
const maxReturnAge = time.Minute

// recentReturnsLocked returns the data centres that were taken back lately. It needs s.mu.
func (s *routingState) recentReturnsLocked() []mesh.Return {
	now := s.clock.Now()
	var out []mesh.Return
	for dc, r := range s.returns {
		if age := now - r.at; age < maxReturnAge {
			out = append(out, mesh.Return{DataCentre: dc, Revision: r.revision, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return out
}

// addEvacuations adds the evacuated data centres, and those that were taken back lately, to a heartbeat.
func (s *routingState) addEvacuations(b *mesh.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.EvacuationsRevision = s.evacuations.Revision
	for _, dc := range s.evacuations.DataCentres {
		b.Evacuated = append(b.Evacuated, mesh.Evacuation{DataCentre: dc, AgeMs: uint32((s.clock.Now() - s.evacuatedAt[dc]).Milliseconds())})
	}
	b.Returns = s.recentReturnsLocked()
}

// applyPeerEvacuations applies the evacuations that another VM has told.
func (s *routingState) applyPeerEvacuations(b mesh.Heartbeat) {
	dataCentres, ages := make([]string, len(b.Evacuated)), make(map[string]time.Duration, len(b.Evacuated))
	for i, e := range b.Evacuated {
		dataCentres[i], ages[e.DataCentre] = e.DataCentre, time.Duration(e.AgeMs)*time.Millisecond
	}
	s.setEvacuations(catalog.NewEvacuations(b.EvacuationsRevision, dataCentres), ages, b.From.VM)
}

// recordReturns records the returns of data centres that another VM has told. This VM may have missed the whole
// evacuation.
func (s *routingState) recordReturns(returns []mesh.Return) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, r := range returns {
		s.recordReturnLocked(r.DataCentre, dataCentreReturn{revision: r.Revision, at: now - time.Duration(r.AgeMs)*time.Millisecond})
	}
}
