package gateway

import (
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/fitness"
)

// successionPlace returns this VM's place in the succession of a service's grantor. VMs that do
// not reach the store have a place too: they can be grantors through a relay, and while no VM
// reaches the store, they must not all take the first place and try at the same time. A VM that is
// shutting down has a place among those that are. VMs that reach too few targets of the service
// do not precede this one.
func (g *Gateway) successionPlace(service string) int {
	if g.leaving.Load() {
		return g.mesh.RankAmongLeaving(service)
	}
	targets := g.state.targetHashes(service)
	return g.place(service, func(vm string) bool {
		return !fitness.Isolated(g.mesh.UnreachedBy(vm, targets), len(targets))
	})
}

// targetHashes returns the hashes of a service's targets.
func (s *routingState) targetHashes(service string) []uint32 {
	var out []uint32
	for _, t := range s.view.Load().ByService[service] {
		out = append(out, catalog.Hash(t.ID))
	}
	return out
}

// reachesMost reports whether this VM reaches enough targets of a service to grant its keys.
func (s *routingState) reachesMost(service string) bool {
	list := s.view.Load().ByService[service]
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, t := range list {
		if state := s.targets[t.ID]; state != nil && s.pathLostLocked(state) {
			lost++
		}
	}
	return !fitness.Isolated(lost, len(list))
}
