package mesh

import "time"

// closePeriod bounds the period of heartbeats between neighbours, and between a VM that is
// monitored closely and one that monitors it, however large the fleet.
const closePeriod = 250 * time.Millisecond

// monitoredPeriods is after how many of its periods without a heartbeat a VM that is monitored
// closely counts as failed.
const monitoredPeriods = 5

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
	if m.periodLocked() <= closePeriod {
		return false
	}
	for _, other := range m.monitored {
		if other == vm {
			return true
		}
	}
	return false
}

// silenceOfLocked returns for how long one VM may be silent until it counts as lost. A VM
// that is monitored closely gets no less time than the others where most of these are silent
// as well: then the link of this VM is the likely reason.
func (m *Mesh) silenceOfLocked(r *remote, now time.Duration) time.Duration {
	if !m.monitoredLocked(r.member.VM) {
		return m.silenceLocked()
	}
	silence := max(silentLeast, monitoredPeriods*closePeriod)
	heard := 0
	for _, other := range m.remotes {
		if now-other.lastHeard < silence {
			heard++
		}
	}
	if 2*heard < len(m.remotes) {
		return m.silenceLocked()
	}
	return silence
}
