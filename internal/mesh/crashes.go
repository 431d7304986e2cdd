package mesh

import "time"

// previousIncarnation is what a VM reported before its process ended.
type previousIncarnation struct {
	crashes   []Crash
	lastHeard time.Duration
}

// asPrevious returns what to remember of a VM whose process has asPrevious.
func (r *remote) asPrevious() *previousIncarnation {
	if len(r.heartbeat.Crashes) == 0 {
		return r.previous
	}
	return &previousIncarnation{crashes: r.heartbeat.Crashes, lastHeard: r.lastHeard}
}

// Crashes returns the targets that ended at other VMs while they ran a request of
// this content. One target may be named several times. What a VM reported counts for a time
// after its process has ended: the new one does not know of it.
func (m *Mesh) Crashes(content uint64, memory time.Duration) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []uint32
	for _, r := range m.remotes {
		out = appendCrashes(out, r.heartbeat.Crashes, content)
		if r.previous != nil && now-r.previous.lastHeard < memory {
			out = appendCrashes(out, r.previous.crashes, content)
		}
	}
	return out
}

func appendCrashes(out []uint32, crashes []Crash, content uint64) []uint32 {
	for _, c := range crashes {
		if c.Content == content {
			out = append(out, c.Targets...)
		}
	}
	return out
}
