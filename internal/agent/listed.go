package agent

import "hemlockquay/internal/platform"

// listedLiveCount returns how many VMs the platform lists as live, including this one, or 0
// before the list was read.
func (m *members) listedLiveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listRead {
		return 0
	}
	n := 1
	for _, p := range m.peers {
		if p.listed.State == platform.VMLive {
			n++
		}
	}
	return n
}
