package gateway

import (
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/platform"
)

func (n *node) newLeaseManager() *leasing.Manager {
	lent := granting{n}
	return leasing.New(n.ctx, leasing.Deps{
		Self: n.self, Clock: n.clock, Log: n.log, Registry: n.registry, HoldMost: n.settings.HoldMost.D(),
		Store: n.leaseStore(), StoreTimeout: storeTimeout, StorePause: storePauseMost,
		Mesh: n.mesh, Leases: n.state.leases, LocalState: lent, TargetDirectory: lent, Orders: n.adapter,
		TargetIDHeader: n.headers.TargetID, InstanceIDHeader: n.headers.InstanceID,
	})
}

// granting shows the grantor its part of the node.
type granting struct{ n *node }

// StoreUp implements leasing.LocalState.
func (g granting) StoreUp() bool { return g.n.storeUp.Load() }

// Listed implements leasing.LocalState.
func (g granting) Listed() bool { return g.n.listed.Load() }

// Leaving implements leasing.LocalState.
func (g granting) Leaving() bool { return g.n.leaving.Load() }

// StoreReachable implements leasing.LocalState.
func (g granting) StoreReachable() bool { return g.n.storeUp.Load() || g.n.storeRelayed() }

// Place implements leasing.LocalState.
func (g granting) Place(service string) int { return g.n.leasePlace(service) }

// Tag implements leasing.LocalState.
func (g granting) Tag() string { return g.n.tag() }

// View implements leasing.TargetDirectory.
func (g granting) View() *catalog.View { return g.n.state.view.Load() }

// ReadTarget implements leasing.TargetDirectory.
func (g granting) ReadTarget(o platform.Object) (catalog.Target, bool) { return g.n.readTarget(o) }

// Slots implements leasing.TargetDirectory.
func (g granting) Slots(target string) int {
	g.n.state.mu.Lock()
	defer g.n.state.mu.Unlock()
	if t := g.n.state.targets[target]; t != nil {
		return t.Slots
	}
	return 0
}

// UsualTime implements leasing.TargetDirectory.
func (g granting) UsualTime(service string) (time.Duration, bool) {
	g.n.state.mu.Lock()
	defer g.n.state.mu.Unlock()
	if d := g.n.state.durations[service]; d != nil && d.Known() {
		return d.Mean(), true
	}
	return 0, false
}

// Coldness implements leasing.TargetDirectory.
func (g granting) Coldness(service string) float64 { return g.n.state.coldnessOf(service) }

// TakeKeyLoad implements leasing.TargetDirectory.
func (g granting) TakeKeyLoad(service string) leasing.KeyLoad { return g.n.state.takeKeyLoad(service) }
