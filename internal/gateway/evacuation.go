package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// evacuatedOwnerGrace is how long an owner in an evacuated data centre may still get requests for its
// keys while they move. With the time that the news takes, it must stay below Settings.EvacuateWithin.
const evacuatedOwnerGrace = 1500 * time.Millisecond

// watchEvacuations keeps the evacuated data centres up to date.
func (g *Gateway) watchEvacuations(ctx context.Context) {
	if g.settings.EvacuateWithin == 0 {
		return
	}
	// Once the list of targets is known, so are most other VMs, which tell the evacuations. Few VMs read them
	// from the store then.
	for !g.listed.Load() && pause.For(ctx, watchCheckInterval) {
	}
	g.watch(ctx, g.adapter.EvacuationKind(), func(l platform.Listing) {
		var dataCentres []string
		for _, o := range l.Objects {
			dataCentres = append(dataCentres, o.Name)
		}
		g.state.setEvacuations(catalog.NewEvacuations(l.Revision, dataCentres), sourceStore)
	}, func(c platform.Changes) {
		for _, ev := range c.Events {
			g.state.changeEvacuations(func(e catalog.Evacuations) catalog.Evacuations {
				return e.With(ev.Object.Name, ev.Type == platform.EventPut, ev.Revision)
			}, sourceStore)
		}
	})
}

// setEvacuations replaces the evacuations if the given ones are later.
func (s *routingState) setEvacuations(next catalog.Evacuations, source string) {
	s.changeEvacuations(func(catalog.Evacuations) catalog.Evacuations { return next }, source)
}

// changeEvacuations applies a change unless the result is not later than what is known.
func (s *routingState) changeEvacuations(change func(catalog.Evacuations) catalog.Evacuations, source string) {
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
	s.publishLocked(source)
}

// markEvacuatedLocked updates the targets after a change of the evacuations or of the list of targets. It
// needs s.mu.
func (s *routingState) markEvacuatedLocked(e catalog.Evacuations) {
	for _, t := range s.targets {
		evacuated := e.Contains(t.DataCentre)
		if evacuated && !t.evacuated {
			t.drainsUntil = s.clock.Now() + evacuatedOwnerGrace
		}
		if !evacuated && t.evacuated {
			s.markWarmingLocked(t, s.serviceLocked(t.Service).Warmup, warmingByReturn)
		}
		t.evacuated = evacuated
	}
}
