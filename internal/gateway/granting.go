package gateway

import (
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/platform"
)

func (g *Gateway) newLeaseManager() *leasing.Manager {
	lent := granting{g}
	return leasing.New(g.ctx, leasing.Deps{
		Self: g.self, Clock: g.clock, Log: g.log, Registry: g.registry, MaxHold: g.settings.HoldMost.D(),
		Store: g.leaseStore(), StoreTimeout: storeTimeout, StoreRetryDelay: storePauseMost,
		Mesh: g.mesh, Leases: g.state.leases, LocalState: lent, TargetDirectory: lent, OrderCodec: g.adapter,
		TargetIDHeader: g.headers.TargetID, InstanceIDHeader: g.headers.InstanceID,
	})
}

// granting shows the grantor its part of the gateway.
type granting struct{ gateway *Gateway }

// StoreUp implements leasing.LocalState.
func (g granting) StoreUp() bool { return g.gateway.storeUp.Load() }

// TargetsListed implements leasing.LocalState.
func (g granting) TargetsListed() bool { return g.gateway.listed.Load() }

// Leaving implements leasing.LocalState.
func (g granting) Leaving() bool { return g.gateway.leaving.Load() }

// TimeUntilExit implements leasing.LocalState.
func (g granting) TimeUntilExit() time.Duration { return g.gateway.endsIn() }

// StoreReachable implements leasing.LocalState.
func (g granting) StoreReachable() bool { return g.gateway.storeUp.Load() || g.gateway.storeRelayed() }

// SuccessionRank implements leasing.LocalState.
func (g granting) SuccessionRank(service string) int { return g.gateway.leasePlace(service) }

// WriteID implements leasing.LocalState.
func (g granting) WriteID() string { return g.gateway.tag() }

// View implements leasing.TargetDirectory.
func (g granting) View() *catalog.View { return g.gateway.state.view.Load() }

// ReadTarget implements leasing.TargetDirectory.
func (g granting) ReadTarget(o platform.Object) (catalog.Target, bool) {
	return g.gateway.readTarget(o)
}

// Slots implements leasing.TargetDirectory.
func (g granting) Slots(target string) int {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	if t := g.gateway.state.targets[target]; t != nil {
		return t.Slots
	}
	return 0
}

// MeanServiceTime implements leasing.TargetDirectory.
func (g granting) MeanServiceTime(service string) (time.Duration, bool) {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	if d := g.gateway.state.durations[service]; d != nil && d.Known() {
		return d.Mean(), true
	}
	return 0, false
}

// WarmupCost implements leasing.TargetDirectory.
func (g granting) WarmupCost(service string) float64 { return g.gateway.state.warmupCostOf(service) }

// TakeKeyLoad implements leasing.TargetDirectory.
func (g granting) TakeKeyLoad(service string) leasing.KeyLoad {
	return g.gateway.state.takeKeyLoad(service)
}
