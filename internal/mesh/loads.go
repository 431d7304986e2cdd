package mesh

import "maps"

// loadSums holds the number of requests that the other VMs have in flight at each target. It is
// updated as heartbeats arrive. Targets are identified by LoadKey.
type loadSums struct {
	requests map[uint32]int
	// changed holds the targets whose sum has changed since the last call of ChangedLoads.
	changed map[uint32]bool
}

func newLoadSums() loadSums {
	return loadSums{requests: make(map[uint32]int), changed: make(map[uint32]bool)}
}

// replace replaces the loads of a VM that are included in the sums.
func (s *loadSums) replace(r *remote, loads []Load) {
	for _, l := range r.countedLoads {
		s.add(l.target(), -l.requests())
	}
	for _, l := range loads {
		s.add(l.target(), l.requests())
	}
	r.countedLoads = loads
}

func (s *loadSums) add(target uint32, requests int) {
	s.changed[target] = true
	if s.requests[target] += requests; s.requests[target] == 0 {
		delete(s.requests, target)
	}
}

// Loads returns the number of requests that the other live VMs have in flight at each target, by
// LoadKey.
func (m *Mesh) Loads() map[uint32]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.loads.requests)
}

// ChangedLoads returns the same as Loads, but only the targets whose sum has changed since the
// last call, including those whose sum is now 0.
func (m *Mesh) ChangedLoads() map[uint32]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[uint32]int, len(m.loads.changed))
	for target := range m.loads.changed {
		out[target] = m.loads.requests[target]
	}
	clear(m.loads.changed)
	return out
}

// dropLoads removes a lost VM's loads from the sums.
func (m *Mesh) dropLoads(r *remote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.replace(r, nil)
}
