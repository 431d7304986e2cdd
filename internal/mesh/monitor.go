package mesh

import "time"

// maxClosePeriod bounds the period of heartbeats between neighbours, and between a closely
// monitored VM and the VM that monitors it, at any fleet size.
const maxClosePeriod = 250 * time.Millisecond

// monitoredTimeoutPeriods is the number of periods of maxClosePeriod without a heartbeat after
// which a closely monitored VM counts as failed.
const monitoredTimeoutPeriods = 5

// Monitor sets the VM that holds a duty, which this VM then monitors closely: its loss is detected
// about as soon as in a small fleet. An empty name ends the monitoring.
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
// fleet none is, since the common period is short enough. The caller holds m.mu.
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

// failureTimeoutOfLocked returns the time without a heartbeat after which one VM counts as lost.
// A closely monitored VM has a shorter timeout than the others, unless most VMs are silent: then
// the likely cause is the link of this VM. The caller holds m.mu.
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
