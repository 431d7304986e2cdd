package mesh

import "time"

const (
	// retryPeriodPerVM, multiplied by the number of VMs whose last exchange failed, is the delay until a failed
	// exchange is retried. So a VM makes at most about 40 calls a second to VMs that do not answer, as many as heartbeats to
	// others: the loss of half of a large fleet must not keep the other half busy.
	retryPeriodPerVM = 24 * time.Millisecond
	// minRetryPeriod, with the timeout of a call, keeps the time between two dials to one lost VM below half a second.
	minRetryPeriod = 100 * time.Millisecond
	// minRetryAllInterval is the least time between two retries of all failed exchanges at once.
	minRetryAllInterval = 100 * time.Millisecond
)

// recordExchange records whether the last exchange with a VM failed.
func (m *Mesh) recordExchange(r *remote, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remotes[r.member.VM] == r {
		m.setFailingLocked(r, err != nil)
	}
}

// setFailingLocked records whether the last exchange with a VM failed. The caller holds m.mu.
func (m *Mesh) setFailingLocked(r *remote, failing bool) {
	switch {
	case failing && !r.failing:
		m.failing++
	case !failing && r.failing:
		m.failing--
	}
	r.failing = failing
}

// delayAfter returns the delay until the next exchange. A failed exchange is retried soon, so that one lost message
// does not make a VM count as failed, and VMs hear each other soon after the end of a cut.
func (m *Mesh) delayAfter(err error, period time.Duration) time.Duration {
	if err == nil {
		return period
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(period, max(minRetryPeriod, time.Duration(m.failing)*retryPeriodPerVM))
}

// retryFailingLocked retries all failed exchanges at once, because a VM that was not heard is heard again: a cut
// that kept several VMs away has probably ended. The caller holds m.mu.
func (m *Mesh) retryFailingLocked(now time.Duration) {
	if now-m.retriedAllAt < minRetryAllInterval {
		return
	}
	m.retriedAllAt = now
	for _, r := range m.remotes {
		if !r.failing {
			continue
		}
		select {
		case r.retries <- struct{}{}:
		default:
		}
	}
}
