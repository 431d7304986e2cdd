package mesh

import "time"

// failureTimeoutLocked returns the time without a heartbeat after which a VM counts as failed. The
// caller holds m.mu.
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

// SetNeighbours sets the VMs that share targets with this one. Heartbeats with them are more
// frequent, because this VM chooses targets by their loads.
func (m *Mesh) SetNeighbours(vms map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.neighbours = vms
}

// periodOf returns the period of heartbeats with one VM, and whether that VM is closely monitored.
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
