package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/decide/subset"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
)

// fleetPlace is the place of a VM among all VMs, and among those of its data centre.
type fleetPlace struct{ all, near subset.Place }

// onlyVM is the place of a VM that does not know any other.
var onlyVM = fleetPlace{all: subset.Place{VMs: 1}, near: subset.Place{VMs: 1}}

// servicePool holds the targets of a service that accept requests.
type servicePool struct {
	all candidates
	// subset holds the targets that this VM prefers as long as they are not full.
	subset candidates
}

// candidates is a list of targets to choose from. targets and states have the same order.
type candidates struct {
	targets []*targetState
	states  []*pick.State
}

func (c *candidates) add(t *targetState) {
	c.targets = append(c.targets, t)
	c.states = append(c.states, &t.pick)
}

// refreshPlaces periodically updates this VM's place among the VMs.
func (g *Gateway) refreshPlaces(ctx context.Context) {
	for {
		interval := subset.RefreshEvery
		if g.settings.Places.FromVMs > 0 && !g.membersListed.Load() {
			interval = unlistedRefreshInterval
		}
		g.discoverLoadReports(ctx)
		g.updatePlaces(g.mesh.Members())
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// unlistedRefreshInterval is subset.RefreshEvery until the list of VMs was read. After all VMs have started at once, callers
// return before that, and VMs that do not know each other overrun the owners of keys together.
const unlistedRefreshInterval = 50 * time.Millisecond

// updatePlaces derives the subsets and the neighbours of this VM from the list of VMs.
func (g *Gateway) updatePlaces(members []mesh.Member) {
	slices.SortFunc(members, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(catalog.Hash(a.VM), catalog.Hash(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	near := slices.DeleteFunc(slices.Clone(members), func(m mesh.Member) bool { return m.DataCentre != g.self.DataCentre })
	place := fleetPlace{all: g.placeIn(members), near: g.placeIn(near)}
	targets, askTargets := g.state.setPlace(place)
	if g.joined.Load() {
		g.state.setHolders(members)
	}
	if g.membersListed.Load() {
		g.state.setMembers(members)
	}
	neighbours := make(map[string]bool)
	for i, m := range near {
		if m.VM != g.self.VM && !askTargets && place.near.Shares(i, targets) {
			neighbours[m.VM] = true
		}
	}
	g.mesh.SetNeighbours(neighbours)
}

func (g *Gateway) placeIn(members []mesh.Member) subset.Place {
	return subset.Place{
		Index: slices.IndexFunc(members, func(m mesh.Member) bool { return m.VM == g.self.VM }), VMs: len(members),
	}
}

// setPlace sets this VM's place. It returns the number of targets in this data centre of the service that
// has the fewest there, and whether all targets report their load, so that this VM does not need the loads of
// other VMs.
func (s *routingState) setPlace(place fleetPlace) (targets int, askTargets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place != s.fleet {
		s.log.Info().Str("step", "subset").Int("place", place.near.Index).Int("vmsNear", place.near.VMs).Int("vms", place.all.VMs).
			Uint64("targets", s.view.Load().Targets.Revision).Msg("place among the VMs changed")
		s.fleet = place
		s.chooseSubsetsLocked()
	}
	return s.minNearTargetsLocked(), s.allTellLoadLocked()
}

// chooseSubsetsLocked chooses the subset of each pool: some targets of this data centre, and some of the
// others for requests that do not fit there. It needs s.mu.
func (s *routingState) chooseSubsetsLocked() {
	view := s.view.Load()
	s.pools = make(map[string]*servicePool, len(view.ByService))
	for service, list := range view.ByService {
		s.pools[service] = s.newPoolLocked(list)
	}
}

// newPoolLocked returns the pool of the given targets. It needs s.mu.
func (s *routingState) newPoolLocked(list []*catalog.Target) *servicePool {
	p := new(servicePool)
	var near, far []*targetState
	for _, t := range list {
		state := s.targets[t.ID]
		state.vmsUsing = 0
		p.all.add(state)
		if state.pick.Near {
			near = append(near, state)
		} else {
			far = append(far, state)
		}
	}
	p.addWindow(near, s.fleet.near)
	p.addWindow(far, s.fleet.all)
	return p
}

// addWindow adds to the subset those targets of the list that a VM at this place uses.
func (p *servicePool) addWindow(list []*targetState, place subset.Place) {
	slices.SortFunc(list, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range place.Window(len(list)) {
		list[i].vmsUsing = subset.Sharers(len(list), place.VMs)
		p.subset.add(list[i])
	}
}

// minNearTargetsLocked returns the number of targets in this data centre of the service that has
// the fewest there. It needs s.mu.
func (s *routingState) minNearTargetsLocked() int {
	fewest := 0
	for _, p := range s.pools {
		near := 0
		for _, state := range p.all.states {
			if state.Near {
				near++
			}
		}
		if near > 0 && (fewest == 0 || near < fewest) {
			fewest = near
		}
	}
	return fewest
}

// subsetSize returns the number of targets in the subsets of all pools.
func (s *routingState) subsetSize() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.pools {
		n += len(p.subset.targets)
	}
	return int64(n)
}
