package leasing

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// Timings and limits of leases.
const (
	// renewInterval allows three more attempts within a hold.
	renewInterval = 600 * time.Millisecond
	// orderRetryDelay is the delay after a failed order.
	orderRetryDelay = 100 * time.Millisecond
	// leaderTick is the interval between two steps of a leader.
	leaderTick = 20 * time.Millisecond
	// discoveryTime is how long a VM that starts discovers the others before it takes over anything.
	// Otherwise, when all VMs start at once, each would succeed the one before.
	discoveryTime = 400 * time.Millisecond
	// candidateTick is the interval between two iterations of a candidate.
	candidateTick = 100 * time.Millisecond
	// rankDelay is how much longer each VM in the order of succession waits than the one before it.
	rankDelay = 400 * time.Millisecond
	// ownersChecked is the number of targets that a VM dials before it takes over.
	ownersChecked = 4
	// closeMonitors is the number of VMs that monitor the grantor closely. It includes the grantor
	// itself, which usually has the first rank.
	closeMonitors = 4
	// minTerm is the time that a leaving VM must still have to succeed a grantor.
	minTerm = time.Second
	// monitorCheckInterval is how often a VM checks whether it is to monitor the grantor closely.
	monitorCheckInterval = time.Second
	// minIsolationTime is how long the grantor must have been without the store, while this VM reaches
	// it, to be succeeded. After an outage the VMs reach the store again within StoreRetryDelay of each
	// other.
	minIsolationTime = 600 * time.Millisecond
	// minIsolationHeartbeats is the number of heartbeat periods for which the same must hold: the
	// grantor's next heartbeat may say that it has found a relay.
	minIsolationHeartbeats = 1
	// confirmInterval is how often the epoch is confirmed at the store: three times within the
	// authority.
	confirmInterval = lease.Authority / 3
	// relayedConfirmInterval is how often the epoch is confirmed through another VM.
	relayedConfirmInterval = 500 * time.Millisecond
	// targetListSettleTime is how long the list of targets must stay unchanged before the keys are
	// assigned for the first time. maxTargetListWait limits the wait for that.
	targetListSettleTime = 700 * time.Millisecond
	maxTargetListWait    = 3 * time.Second
	// initialSlicesPerOwner is the number of slices that each owner gets at first. maxInitialSlices
	// limits their total, since each slice is renewed by a call of its own, but each owner gets one.
	initialSlicesPerOwner = 16
	maxInitialSlices      = 512
	// ownerSilenceTimeout is how long an owner may leave its renewals unanswered before its keys are
	// given to others.
	ownerSilenceTimeout = 1200 * time.Millisecond
)

// candidate takes part in the succession of one service's grantor. It runs a leader while this VM is
// the grantor.
type candidate struct {
	*Manager
	service string

	// orderDeadline is until when orders may be sent, on the clock that counts suspended time. It is
	// 0 while this VM is not the grantor.
	orderDeadline atomic.Int64

	// storeStableSince is since when the store has answered this VM's reads of the record while the
	// grantor was alive but isolated from the store. It is 0 if there is no such time.
	storeStableSince time.Duration
	// nextMonitorCheck is when this VM checks again whether it is to monitor the grantor closely.
	nextMonitorCheck time.Duration
	// isolatedSince is since when the grantor has been isolated from the store, or 0.
	isolatedSince time.Duration
	// targetsRevision is the last revision of the list of targets, targetsChangedAt the time at which
	// it was first seen, and targetsSeenAt the time since which the list has not been empty. They
	// delay the initial assignment.
	targetsRevision  uint64
	targetsChangedAt time.Duration
	targetsSeenAt    time.Duration
	// recordMissingSince is since when the store has had no record although a grantor is known, or 0.
	recordMissingSince time.Duration
}

// run takes over whenever it is this VM's turn, until the context ends.
func (c *candidate) run(ctx context.Context) {
	c.resume(ctx)
	var takeOverAt time.Duration
	checked := false
	for pause.For(ctx, candidateTick) {
		now := c.Clock.Now()
		c.monitorGrantor(now)
		rank, grantorHealthy := c.succession()
		if grantorHealthy || rank < 0 {
			takeOverAt, checked = 0, false
			continue
		}
		if takeOverAt == 0 {
			takeOverAt = now + time.Duration(rank)*rankDelay
		}
		if now < takeOverAt {
			continue
		}
		if !checked && !c.reachesOwners(ctx) {
			// The others come first. If none of them takes over, this VM still must.
			checked, takeOverAt = true, now+time.Duration(c.Mesh.Size())*rankDelay
			continue
		}
		takeOverAt, checked = 0, false
		if err := c.takeOver(ctx); err != nil {
			c.Log.Warn().Str("step", "leases").Str("service", c.service).Int("rank", rank).Err(err).Msg("not taken over")
		}
	}
}

// reachesOwners dials some targets of the service and reports whether at least half of them accept the
// connection.
func (c *candidate) reachesOwners(ctx context.Context) bool {
	list := c.TargetDirectory.View().ByService[c.service]
	var ids []string
	for _, i := range rand.Perm(len(list))[:min(len(list), ownersChecked)] {
		ids = append(ids, list[i].ID)
	}
	reached := c.Reach.ReachedHere(ctx, ids)
	if 2*reached >= len(ids) {
		return true
	}
	c.Log.Warn().Str("step", "leases").Str("service", c.service).Int("dialled", len(ids)).Int("reached", reached).
		Msg("not taken over yet: this VM does not reach the owners")
	return false
}

// monitorGrantor makes this VM monitor the grantor closely while it is one of the first successors.
// Without close monitoring, a VM in a large fleet counts as lost only after more than a hold.
func (c *candidate) monitorGrantor(now time.Duration) {
	if now < c.nextMonitorCheck {
		return
	}
	c.nextMonitorCheck = now + monitorCheckInterval
	holder := ""
	if r := c.Leases.Get(c.service); r != nil && r.Holder != c.Self.VM && c.LocalState.SuccessionRank(c.service) < closeMonitors {
		holder = r.Holder
	}
	c.Mesh.Monitor(c.service, holder)
}

// resume takes over at once if this VM was the grantor before its process restarted. When all
// processes restart at once, the VM that the record names needs no agreement, and keys would expire
// while the VMs discover each other.
func (c *candidate) resume(ctx context.Context) {
	for !c.LocalState.TargetsListed() {
		if !pause.For(ctx, leaderTick) {
			return
		}
	}
	r, _, err := c.readRecord(ctx)
	if err != nil || r.Holder != c.Self.VM || r.HolderAddr != c.Self.Addr || r.Incarnation == c.Self.Incarnation {
		return
	}
	if err := c.takeOver(ctx); err != nil {
		c.Log.Warn().Str("step", "leases").Str("service", c.service).Err(err).Msg("not resumed as the grantor after a restart")
	}
}

// succession returns this VM's rank among the successors and whether the current grantor is healthy.
// The rank is negative if this VM must not take over.
func (c *candidate) succession() (rank int, grantorHealthy bool) {
	now := c.Clock.Now()
	leaving := c.LocalState.Leaving()
	if now-c.startedAt < discoveryTime || leaving && c.LocalState.TimeUntilExit() < minTerm {
		return -1, false
	}
	r := c.Leases.Get(c.service)
	if r != nil && r.Holder != c.Self.VM && c.Mesh.IsLive(r.Holder, r.Incarnation) && !c.isolated(r.Holder) {
		c.storeStableSince = 0
		return -1, true
	}
	if r != nil && r.Holder == c.Self.VM && r.Incarnation == c.Self.Incarnation {
		// The epoch of this VM ended because another write of its record conflicted. The other VMs still
		// see a live grantor, and keys would expire while this VM waited for its turn.
		return 0, false
	}
	rank = c.LocalState.SuccessionRank(c.service)
	if leaving {
		rank += min(c.Mesh.NonLeavingPeers(), closeMonitors)
	}
	if int64(now) < c.demotedUntil.Load() || !c.LocalState.ReachesOwners(c.service) {
		// All others come first. If there is none, one of these VMs must still take over.
		rank += c.Mesh.Size()
	}
	return rank, false
}

// isolated reports whether the grantor has been without the store for a while although the store
// answers this VM. Such a grantor renews its grants, but cannot move the keys of targets that leave
// or fail.
func (c *candidate) isolated(holder string) bool {
	now := c.Clock.Now()
	if !c.LocalState.StoreUp() || c.Mesh.ReachesStoreByAnyPath(holder) {
		c.isolatedSince = 0
		return false
	}
	if c.isolatedSince == 0 {
		c.isolatedSince = now
	}
	return now-c.isolatedSince > c.minIsolation()
}

// minIsolation is how long the grantor must be without the store, while this VM reaches it, to be
// succeeded.
func (c *candidate) minIsolation() time.Duration {
	return max(minIsolationTime, minIsolationHeartbeats*c.Mesh.Period())
}

// storeStable reports whether the store has answered this VM's reads of the record for long enough to
// succeed a live grantor. A VM that made no call during an outage considers the store up throughout;
// when the outage ends, the grantor needs a moment to reach the store again.
func (c *candidate) storeStable(old lease.Record) bool {
	if old.Resigned || old.Holder == c.Self.VM || !c.Mesh.IsLive(old.Holder, old.Incarnation) {
		return true
	}
	now := c.Clock.Now()
	if c.storeStableSince == 0 {
		c.storeStableSince = now
	}
	return now-c.storeStableSince > c.minIsolation()
}

// takeOver makes this VM the grantor and runs its leader until it is succeeded. It does nothing while
// the initial owners are not known, the record names a healthy grantor, or the store has not been
// stable for long enough.
func (c *candidate) takeOver(ctx context.Context) error {
	old, version, err := c.readRecord(ctx)
	unclaimed := errors.Is(err, platform.ErrNotFound)
	if err != nil && !unclaimed {
		c.storeStableSince = 0
		return err
	}
	var next lease.Record
	if unclaimed {
		owners := c.initialOwners()
		if owners == nil || !c.mayClaim() {
			return nil
		}
		if last := c.Leases.Get(c.service); last != nil {
			old.Epoch = last.Epoch
		}
		next = lease.Record{Service: c.service, Earlier: lease.NoArrival, Slices: lease.EvenSlices(c.Spread.initialSlices(len(owners)), owners)}
	} else {
		c.recordMissingSince = 0
		if c.hasLiveGrantor(old) || !c.storeStable(old) {
			return nil
		}
		next = old.Succeed(c.Leases.Get(c.service), c.predecessor(ctx, old))
	}
	next.Epoch, next.Resigned = old.Epoch+1, false
	next.Holder, next.HolderAddr, next.Incarnation = c.Self.VM, c.Self.Addr, c.Self.Incarnation
	sent := c.Clock.Now()
	version, err = c.writeRecord(ctx, next, version)
	if err != nil {
		return err
	}
	done := c.Clock.Now()
	timing := lease.Timing{Hold: min(lease.HoldTime, c.MaxHold), Renew: renewInterval, Retry: orderRetryDelay, Cold: c.coldMoveTime()}
	c.Log.Info().Str("step", "leases").Str("service", c.service).Uint64("epoch", next.Epoch).Str("before", old.Holder).
		Int("slices", len(next.Slices)).Bool("resigned", old.Resigned).Dur("earlierStated", old.Earlier.Within()).
		Dur("earlier", next.Earlier.Within()).Msg("grantor of the service")
	grants := lease.NewGrantor(next, timing, sent, done)
	c.presumeServed(grants, old)
	newLeader(c, grants, version).run(ctx)
	return nil
}

// mayClaim reports whether this VM may grant the keys of a service without a record. If a grantor is known, the record was removed, and
// which targets it has granted keys is not known: all its grants must have expired first.
func (c *candidate) mayClaim() bool {
	if last := c.Leases.Get(c.service); last == nil || last.Epoch == 0 {
		return true
	}
	now := c.Clock.Now()
	if c.recordMissingSince == 0 {
		c.recordMissingSince = now
		c.Log.Error().Str("step", "leases").Str("service", c.service).Msg("the record of a service with a grantor is missing in the store: its keys are assigned again once all grants have expired")
	}
	return now >= lease.AllGrantsExpiredAt(c.recordMissingSince, min(lease.HoldTime, c.MaxHold))
}

// presumeServed treats the owners that the predecessor granted last as serving their keys until its
// grants expire. The grants are dated by the predecessor's last heartbeat.
func (c *candidate) presumeServed(grants *lease.Grantor, old lease.Record) {
	last := c.Leases.Get(c.service)
	heard, known := c.Mesh.LastHeard(old.Holder, old.Incarnation)
	if last == nil || last.Epoch != old.Epoch || !known {
		return
	}
	grants.PresumeServed(last, heard+min(lease.HoldTime, c.MaxHold)-renewInterval)
}

// coldMoveTime is how long requests for keys are slow at an owner that got the keys without the state
// of the previous owner.
func (c *candidate) coldMoveTime() time.Duration {
	t := c.TargetDirectory.View().Routes
	if t == nil {
		return 0
	}
	return t.Config().Services[c.service].ColdMove
}

// predecessor returns what is known of the grantor that wrote a record. This process sends no orders for the service while it is not
// the grantor, so a grantor at its own address has ended.
func (c *candidate) predecessor(ctx context.Context, old lease.Record) lease.Predecessor {
	own := old.Holder == c.Self.VM && old.HolderAddr == c.Self.Addr
	if own || c.Mesh.ConfirmEnded(ctx, old.Holder, old.HolderAddr, old.Incarnation) {
		return lease.PredecessorEnded
	}
	return lease.PredecessorMayGrant
}

// hasLiveGrantor reports whether the record names a live grantor that is not isolated. If so, it
// publishes the record on this VM, since no heartbeat has named the grantor yet.
func (c *candidate) hasLiveGrantor(r lease.Record) bool {
	if r.Resigned || r.Holder == c.Self.VM || !c.Mesh.IsLive(r.Holder, r.Incarnation) || c.isolated(r.Holder) {
		return false
	}
	old := c.Leases.Get(c.service)
	if old != nil && old.Epoch == r.Epoch && old.Holder == "" {
		// The grantor announced its resignation but could not write it.
		return false
	}
	if old == nil || r.Epoch > old.Epoch {
		c.Leases.Set(lease.NewRouting(r, 0, func(int) lease.SliceState { return lease.Served }))
	}
	return true
}

// initialSlices returns the number of slices that are assigned to some owners for the first time.
func initialSlices(owners int) int {
	return max(min(initialSlicesPerOwner*owners, maxInitialSlices), owners)
}
