package mesh

import "time"

// failureTimeoutLocked returns for how long a VM may be silent until it counts as failed.
func (m *Mesh) failureTimeoutLocked() time.Duration {
	return max(minFailureTimeout, time.Duration(failureTimeoutPeriods*float64(m.periodLocked())))
}

func (m *Mesh) periodLocked() time.Duration {
	return max(basePeriod, time.Duration(len(m.remotes)-smallFleetSize)*periodPerVM)
}

// Period returns the time between two heartbeats of a pair of VMs.
func (m *Mesh) Period() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.periodLocked()
}

// SetNeighbours has this VM exchange heartbeats more often with the VMs that use some of the
// same targets: their loads decide where its requests go.
func (m *Mesh) SetNeighbours(vms map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.neighbours = vms
}

// periodOf returns the period of heartbeats with one VM, and whether that is monitored closely.
func (m *Mesh) periodOf(r *remote) (period time.Duration, monitored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.monitoredLocked(r.member.VM):
		return maxClosePeriod, true
	case m.neighbours[r.member.VM]:
		return min(maxClosePeriod, m.periodLocked()), false
	}
	return m.periodLocked(), false
}
