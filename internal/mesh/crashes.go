package mesh

import "time"

// previousIncarnation holds the crashes that a VM reported before its process ended.
type previousIncarnation struct {
	crashes   []Crash
	lastHeard time.Duration
}

// asPrevious returns what to keep of a VM whose process has ended. If it reported no crashes,
// those of an earlier incarnation are kept.
func (r *remote) asPrevious() *previousIncarnation {
	if len(r.heartbeat.Crashes) == 0 {
		return r.previous
	}
	return &previousIncarnation{crashes: r.heartbeat.Crashes, lastHeard: r.lastHeard}
}

// Crashes returns the targets whose process ended while it ran a request of this content, as
// reported by other VMs. A target may occur several times. Reports of a VM whose process has
// ended count for the retention time after its last heartbeat, because its new process does not
// know of them.
func (m *Mesh) Crashes(content uint64, retention time.Duration) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []uint32
	for _, r := range m.remotes {
		out = appendCrashes(out, r.heartbeat.Crashes, content)
		if r.previous != nil && now-r.previous.lastHeard < retention {
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
