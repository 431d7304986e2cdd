package gateway

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/pause"
)

const (
	// lagWindow is the time over which the largest delay of this VM's work is kept.
	lagWindow = time.Second
	// loggedLag is the delay of this VM's work above which it is logged.
	loggedLag = 100 * time.Millisecond
)

// lagMeter keeps by how much this VM's timers were late at most, in the current and the last window. It is safe for
// concurrent use.
type lagMeter struct {
	mu            sync.Mutex
	began         time.Duration
	current, last time.Duration
}

func (m *lagMeter) observe(lag, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateLocked(now)
	m.current = max(m.current, lag)
}

// worst returns the largest delay within the last window or two.
func (m *lagMeter) worst(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateLocked(now)
	return max(m.current, m.last)
}

func (m *lagMeter) rotateLocked(now time.Duration) {
	switch since := now - m.began; {
	case since < lagWindow:
	case since < 2*lagWindow:
		m.began, m.last, m.current = now, m.current, 0
	default:
		m.began, m.last, m.current = now, 0, 0
	}
}

// recentPeers returns how many of the other known VMs have sent a heartbeat within the last two heartbeat periods, and
// the number of known VMs.
func (g *Gateway) recentPeers() (heard, known int) {
	return g.mesh.HeardWithin(max(lagWindow, 2*g.mesh.Period()))
}

// logLag logs, at most once in lagWindow, that this VM's own work is late or that few other VMs are heard, until ctx
// ends.
func (g *Gateway) logLag(ctx context.Context) {
	for pause.For(ctx, lagWindow) {
		lag := g.lag.worst(g.clock.Now())
		heard, known := g.recentPeers()
		if lag < loggedLag && 2*heard >= known {
			continue
		}
		g.log.Info().Str("step", "lag").Dur("lag", lag).Int("heard", heard).Int("known", known).Uint64("config", g.state.view.Load().ConfigVersion()).
			Dur("confirmedFor", g.confirmations.age(g.adapter.ConfigID().Kind)).Msg("own work is late or few VMs are heard")
	}
}
