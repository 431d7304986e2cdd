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
		case <-time.After(delayAfter(err, lost, period)):
		}
	}
}

// retryFraction is the fraction of the period after which a failed exchange is retried. With more
// frequent retries, the loss of half of a large fleet would keep the other half busy with calls
// to the lost VMs.
const retryFraction = 0.25

// delayAfter returns the delay until the next exchange. A failed exchange is retried soon, so that
// one lost message does not make a VM count as failed. A lost VM is called at the normal period.
func delayAfter(err error, lost bool, period time.Duration) time.Duration {
	if err != nil && !lost {
		return min(period, max(maxClosePeriod, time.Duration(retryFraction*float64(period))))
	}
	return period
}

// exchangeOnce sends one heartbeat and records the reply.
func (m *Mesh) exchangeOnce(ctx context.Context, r *remote, brief bool) error {
	var reply Heartbeat
	heartbeat := m.local.Heartbeat()
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
	if known {
		b = b.withDetailsOf(r.heartbeat)
		r.lastHeard, r.heartbeat = m.clock.Now(), b
		m.loads.replace(r, b.Loads)
	}
	m.mu.Unlock()
	if known {
		m.local.OnHeartbeat(b)
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
