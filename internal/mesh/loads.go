package mesh

import "maps"

// loadSums are what the other VMs have at each target, added up as heartbeats arrive.
type loadSums struct {
	requests map[uint32]int
	// changed holds the targets whose sum has changed since it was last read.
	changed map[uint32]bool
}

func newLoadSums() loadSums {
	return loadSums{requests: make(map[uint32]int), changed: make(map[uint32]bool)}
}

// replace puts the loads of a VM in place of those that are counted of it.
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

// Loads returns what the other live VMs have at each target.
func (m *Mesh) Loads() map[uint32]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.loads.requests)
}

// ChangedLoads returns what the other live VMs have at each target for which that has
// changed since the last call.
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

// dropLoads takes a lost VM's loads out of the sums.
func (m *Mesh) dropLoads(r *remote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.replace(r, nil)
}
