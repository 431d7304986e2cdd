package gateway

import (
	"cmp"
	"context"
	"slices"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/decide/subset"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
)

// fleetPlace is a VM's place among all VMs, and among those of its data centre.
type fleetPlace struct{ all, near subset.Place }

// onlyVM is the place of a VM that knows no other.
var onlyVM = fleetPlace{all: subset.Place{VMs: 1}, near: subset.Place{VMs: 1}}

// servicePool is the targets of one service that take requests.
type servicePool struct {
	all candidates
	// subset are those that this VM uses while they have room.
	subset candidates
}

// candidates are targets of which one is chosen; both lists run in parallel.
type candidates struct {
	targets []*targetState
	states  []*pick.State
}

func (c *candidates) add(t *targetState) {
	c.targets = append(c.targets, t)
	c.states = append(c.states, &t.pick)
}

// refreshPlaces keeps this VM's place in the fleet up to date.
func (g *Gateway) refreshPlaces(ctx context.Context) {
	for {
		g.updatePlaces(g.mesh.Members())
		if !pause.For(ctx, subset.RefreshEvery) {
			return
		}
	}
}

// updatePlaces chooses the subsets and neighbours of this VM in a fleet of these members.
func (g *Gateway) updatePlaces(members []mesh.Member) {
	slices.SortFunc(members, func(a, b mesh.Member) int {
		return cmp.Or(cmp.Compare(catalog.Hash(a.VM), catalog.Hash(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	near := slices.DeleteFunc(slices.Clone(members), func(m mesh.Member) bool { return m.DataCentre != g.self.DataCentre })
	place := fleetPlace{all: g.placeIn(members), near: g.placeIn(near)}
	targets := g.state.setPlace(place)
	neighbours := make(map[string]bool)
	for i, m := range near {
		if m.VM != g.self.VM && place.near.Shares(i, targets) {
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

// setPlace sets this VM's place in the fleet, and returns how many targets the smallest pool
// has in its data centre.
func (s *routingState) setPlace(place fleetPlace) (targets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place != s.fleet {
		s.log.Info().Str("step", "subset").Int("place", place.near.Index).Int("vmsNear", place.near.VMs).Int("vms", place.all.VMs).
			Uint64("targets", s.view.Load().Targets.Revision).Msg("place in the fleet")
		s.fleet = place
		s.subsetLocked()
	}
	return s.minNearTargetsLocked()
}

// subsetLocked chooses the targets of each pool that this VM uses: some of its data centre, and
// some of the others for what does not fit there. It needs s.mu.
func (s *routingState) subsetLocked() {
	view := s.view.Load()
	s.pools = make(map[string]*servicePool, len(view.ByService))
	for service, list := range view.ByService {
		s.pools[service] = s.newPoolLocked(list)
	}
}

// newPoolLocked needs s.mu.
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

// addWindow adds the window of a VM at this place to the subset.
func (p *servicePool) addWindow(list []*targetState, place subset.Place) {
	slices.SortFunc(list, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range place.Window(len(list)) {
		list[i].vmsUsing = subset.Sharers(len(list), place.VMs)
		p.subset.add(list[i])
	}
}

// minNearTargetsLocked needs s.mu.
func (s *routingState) minNearTargetsLocked() int {
	least := 0
	for _, p := range s.pools {
		near := 0
		for _, state := range p.all.states {
			if state.Near {
				near++
			}
		}
		if near > 0 && (least == 0 || near < least) {
			least = near
		}
	}
	return least
}

// subsetSize returns how many targets the subsets of all pools have.
func (s *routingState) subsetSize() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.pools {
		n += len(p.subset.targets)
	}
	return int64(n)
}
