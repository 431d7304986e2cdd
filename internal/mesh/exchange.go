package mesh

import (
	"context"
	"time"
)

// exchange exchanges heartbeats with one VM until the VM is replaced or forgotten.
func (m *Mesh) exchange(ctx context.Context, r *remote) {
	defer m.wait.Done()
	defer r.client.Close()
	defer r.transfers.Close()
	lost := false
	first, announcing := true, true
	for {
		var err error
		period, monitored := m.periodOf(r)
		if announcing || monitored || m.self.VM < r.member.VM || m.sinceLastHeard(r) > time.Duration(overdueFactor*float64(period)) {
			err = m.exchangeOnce(ctx, r, announcing && !first)
		}
		announcing, first = false, false
		m.recordExchange(r, err)
		silent := m.sinceLastHeard(r)
		if now := silent > m.failureTimeoutOf(r); now != lost {
			lost = now
			if lost {
				m.dropLoads(r)
			}
			m.log.Warn().Str("step", "mesh").Str("peer", r.member.VM).Bool("lost", lost).Dur("silent", silent).AnErr("cause", err).Msg("peer lost or regained")
		}
		if silent > forgetAfter {
			m.forget(r)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.announcements:
			announcing = true
		case <-r.retries:
		case <-time.After(m.delayAfter(err, period)):
		}
	}
}

// exchangeOnce sends one heartbeat and records the reply.
func (m *Mesh) exchangeOnce(ctx context.Context, r *remote, brief bool) error {
	var reply Heartbeat
	heartbeat := m.buildHeartbeat(r.member)
	if brief {
		heartbeat = heartbeat.brief()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.client.Call(ctx, "Mesh.Heartbeat", &heartbeat, &reply)
	if err == nil {
		m.receive(reply)
	}
	return err
}

// failureTimeoutOf returns the time without a heartbeat after which one VM counts as lost.
func (m *Mesh) failureTimeoutOf(r *remote) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failureTimeoutOfLocked(r, m.clock.Now())
}

// sinceLastHeard returns the time since the last heartbeat of a VM.
func (m *Mesh) sinceLastHeard(r *remote) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.checkPauseLocked(now)
	return now - r.lastHeard
}

// forget removes a VM unless a new incarnation has replaced it.
func (m *Mesh) forget(r *remote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remotes[r.member.VM] == r {
		m.setFailingLocked(r, false)
		m.loads.replace(r, nil)
		delete(m.remotes, r.member.VM)
	}
}

// receive records a heartbeat that arrived as a call or as a reply.
func (m *Mesh) receive(b Heartbeat) {
	m.Add(b.From)
	m.mu.Lock()
	r := m.remotes[b.From.VM]
	known := r != nil && r.member.Incarnation == b.From.Incarnation
	sentAt := time.Duration(0)
	if known {
		b = b.withDetailsOf(r.heartbeat)
		now := m.clock.Now()
		sentAt = sentAtOf(b, now)
		r.stamp = stamp{sentMs: b.SentMs, receivedAt: now}
		if r.failing || !m.liveLocked(r, now) {
			m.retryFailingLocked(now)
		}
		r.lastHeard, r.heartbeat = now, b
		m.loads.replace(r, b.Loads)
	}
	m.mu.Unlock()
	if known {
		m.local.OnHeartbeat(b, sentAt)
	}
}

// Service is the RPC receiver for the calls of other VMs. It is registered as "Mesh".
type Service struct{ Mesh *Mesh }

// Join makes the caller known and returns all known VMs.
func (s Service) Join(in *Member, out *[]Member) error {
	s.Mesh.Add(*in)
	*out = s.Mesh.Members()
	return nil
}
