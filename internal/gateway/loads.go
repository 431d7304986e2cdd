package gateway

import (
	"context"

	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
)

// refreshLoads periodically applies the numbers of requests that other VMs have at the targets.
func (g *Gateway) refreshLoads(ctx context.Context) {
	for pause.For(ctx, pick.LoadsInterval) {
		g.state.setOtherLoads(g.mesh.ChangedLoads())
	}
}

// ownLoads returns the number of this VM's requests at each target that has any, except targets that report their
// load.
func (s *routingState) ownLoads() []mesh.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mesh.Load
	for t := range s.inUse {
		if t.pick.Own > 0 && !t.tellsLoad {
			out = append(out, mesh.NewLoad(t.hash, t.pick.Own))
		}
	}
	return out
}

// setOtherLoads sets the number of other VMs' requests at those targets where it has changed.
func (s *routingState) setOtherLoads(changed map[uint32]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, requests := range changed {
		if t := s.byHash[key]; t != nil {
			t.pick.Others = requests
		}
	}
	for t := range s.inUse {
		t.pick.SetOthers(t.pick.Others)
		if !t.pick.InUse() {
			delete(s.inUse, t)
		}
	}
}
