package mesh

import "time"

// stamp is the clock of another VM in its last heartbeat, and when that arrived on this VM's clock. So the other clock
// has advanced by at least the time since then.
type stamp struct {
	// sentMs is 0 if the VM has sent no clock.
	sentMs     uint64
	receivedAt time.Duration
}

// echoMs returns a lower bound of the other VM's clock at a time of this VM's clock, or 0 if none is known.
func (s stamp) echoMs(now time.Duration) uint64 {
	if s.sentMs == 0 {
		return 0
	}
	return s.sentMs + uint64((now - s.receivedAt).Milliseconds())
}

// sentAtOf returns a time on this VM's clock before which a heartbeat was not sent, or 0 if none is known. It assumes
// only that the clocks of both VMs advance at the same rate: whatever delays the heartbeat is counted.
func sentAtOf(b Heartbeat, now time.Duration) time.Duration {
	sentAt := time.Duration(b.EchoMs) * time.Millisecond
	if sentAt > now {
		// The echo is of an earlier boot of this machine.
		return 0
	}
	return sentAt
}

// buildHeartbeat returns the heartbeat to send to a VM now.
func (m *Mesh) buildHeartbeat(member Member) Heartbeat {
	// The clock is read before the ages in the heartbeat are, so that the receiver counts the time in between as transit.
	now := m.clock.Now()
	b := m.local.Heartbeat()
	b.SentMs = uint64(now.Milliseconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.remotes[member.VM]; r != nil && r.member.Incarnation == member.Incarnation {
		b.EchoMs = r.stamp.echoMs(now)
	}
	return b
}
