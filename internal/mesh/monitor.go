package mesh

import "time"

// maxClosePeriod bounds the period of heartbeats between neighbours, and between a VM that is
// monitored closely and one that monitors it, however large the fleet.
const maxClosePeriod = 250 * time.Millisecond

// monitoredTimeoutPeriods is after how many of its periods without a heartbeat a VM that is monitored
// closely counts as failed.
const monitoredTimeoutPeriods = 5

// Monitor has this VM monitor the VM that has a duty closely, so that its loss is noticed as
// soon as in a small fleet; an empty name ends it.
func (m *Mesh) Monitor(duty, vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == "" {
		delete(m.monitored, duty)
		return
	}
	m.monitored[duty] = vm
}

// monitoredLocked reports whether a VM is monitored more closely than the others. In a small
// fleet all are.
func (m *Mesh) monitoredLocked(vm string) bool {
	if m.periodLocked() <= maxClosePeriod {
		return false
	}
	for _, other := range m.monitored {
		if other == vm {
			return true
		}
	}
	return false
}

// failureTimeoutOfLocked returns for how long one VM may be silent until it counts as lost. A VM
// that is monitored closely gets no less time than the others where most of these are silent
// as well: then the link of this VM is the likely reason.
func (m *Mesh) failureTimeoutOfLocked(r *remote, now time.Duration) time.Duration {
	if !m.monitoredLocked(r.member.VM) {
		return m.failureTimeoutLocked()
	}
	timeout := max(minFailureTimeout, monitoredTimeoutPeriods*maxClosePeriod)
	heard := 0
	for _, other := range m.remotes {
		if now-other.lastHeard < timeout {
			heard++
		}
	}
	if 2*heard < len(m.remotes) {
		return m.failureTimeoutLocked()
	}
	return timeout
}
