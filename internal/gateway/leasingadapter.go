package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/upstream"
)

func (g *Gateway) newLeaseManager() *leasing.Manager {
	state := leasingAdapter{g}
	return leasing.New(g.ctx, leasing.Deps{
		Self: g.self, Clock: g.clock, Log: g.log, Registry: g.registry, MaxHold: g.settings.HoldMost.D(), TargetSource: g.state.source, AnswerMemory: g.state.answerMemory, BrokenAnswers: g.brokenAnswers,
		Spread: leasing.Spread(g.settings.Spread),
		Store:  g.leaseStore(), StoreTimeout: storeTimeout, StoreRetryDelay: maxStoreBackoff,
		Mesh: g.mesh, Reach: state, Leases: g.state.leases, LocalState: state, TargetDirectory: state, OrderCodec: g.adapter,
		TargetIDHeader: g.headers.TargetID, InstanceIDHeader: g.headers.InstanceID,
	})
}

// leasingAdapter implements the interfaces through which package leasing reads the gateway's
// state.
type leasingAdapter struct{ gateway *Gateway }

// StoreUp implements leasing.LocalState.
func (g leasingAdapter) StoreUp() bool { return g.gateway.storeUp.Load() }

// TargetsListed implements leasing.LocalState.
func (g leasingAdapter) TargetsListed() bool { return g.gateway.listed.Load() }

// Leaving implements leasing.LocalState.
func (g leasingAdapter) Leaving() bool { return g.gateway.leaving.Load() }

// TimeUntilExit implements leasing.LocalState.
func (g leasingAdapter) TimeUntilExit() time.Duration { return g.gateway.shutdownTimeLeft() }

// StoreReachable implements leasing.LocalState.
func (g leasingAdapter) StoreReachable() bool {
	return g.gateway.storeUp.Load() || g.gateway.storeRelayed()
}

// SuccessionRank implements leasing.LocalState.
func (g leasingAdapter) SuccessionRank(service string) int { return g.gateway.successionPlace(service) }

// ReachesOwners implements leasing.LocalState.
func (g leasingAdapter) ReachesOwners(service string) bool {
	return g.gateway.state.reachesMost(service)
}

// WriteID implements leasing.LocalState.
func (g leasingAdapter) WriteID() string { return g.gateway.tag() }

// View implements leasing.TargetDirectory.
func (g leasingAdapter) View() *catalog.View { return g.gateway.state.view.Load() }

// ReadTarget implements leasing.TargetDirectory.
func (g leasingAdapter) ReadTarget(o platform.Object) (catalog.Target, bool) {
	return g.gateway.readTarget(o)
}

// Warming implements leasing.TargetDirectory.
func (g leasingAdapter) Warming(target string) bool { return g.gateway.state.isWarming(target) }

// Limit implements leasing.TargetDirectory.
func (g leasingAdapter) Limit(target string) (perSecond float64, limited bool) {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	t := g.gateway.state.targets[target]
	if t == nil || !t.limit.Limited {
		return 0, false
	}
	return t.limit.PerSecond, true
}

// Refusing implements leasing.TargetDirectory. The refusals that one VM has seen may be its own fault.
func (g leasingAdapter) Refusing(target string) bool {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	t := g.gateway.state.targets[target]
	return t != nil && t.pushback.VMs(g.gateway.clock.Now()) >= max(1, min(refusingVMs, len(g.gateway.state.holders.list)))
}

// RecordAnswer implements leasing.TargetDirectory.
func (g leasingAdapter) RecordAnswer(o lease.Owner, resp *upstream.Answer) {
	if t := g.gateway.state.incarnation(o.ID, o.Born); t != nil {
		g.gateway.applySignals(t, resp, received{kind: toOrder})
	}
}

// Slots implements leasing.TargetDirectory.
func (g leasingAdapter) Slots(target string) int {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	if t := g.gateway.state.targets[target]; t != nil {
		return t.Slots
	}
	return 0
}

// MeanServiceTime implements leasing.TargetDirectory.
func (g leasingAdapter) MeanServiceTime(service string) (time.Duration, bool) {
	g.gateway.state.mu.Lock()
	defer g.gateway.state.mu.Unlock()
	mean := g.gateway.state.meanDurationLocked(service)
	return mean, mean > 0
}

// WarmupCost implements leasing.TargetDirectory.
func (g leasingAdapter) WarmupCost(service string) float64 {
	return g.gateway.state.warmupCostFor(service)
}

// TakeKeyLoad implements leasing.TargetDirectory.
func (g leasingAdapter) TakeKeyLoad(service string) leasing.KeyLoad {
	return g.gateway.state.takeKeyLoad(service)
}

// ReachedHere implements leasing.Reach.
func (g leasingAdapter) ReachedHere(ctx context.Context, targets []string) int {
	return len(g.gateway.dialTargets(ctx, targets))
}

// ReachedByOthers implements leasing.Reach.
func (g leasingAdapter) ReachedByOthers(ctx context.Context, targets []string) int {
	return g.gateway.reachedByOthers(ctx, targets)
}
