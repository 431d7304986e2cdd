package leasing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// Timeouts and limits of leases.
const (
	// renewEvery leaves three more tries within a hold.
	renewEvery = 600 * time.Millisecond
	// orderRetry is the pause after a failed order.
	orderRetry = 100 * time.Millisecond
	// leadStep is the time between two iterations of a grantor.
	leadStep = 20 * time.Millisecond
	// meetTime is how long a VM that starts meets the others before it takes over
	// anything: when all start at once, each would succeed the one before.
	meetTime = 400 * time.Millisecond
	// candidateStep is the time between two iterations of a VM that is none.
	candidateStep = 100 * time.Millisecond
	// rankPause is by how much the next in the succession waits longer than the one before.
	rankPause = 400 * time.Millisecond
	// closeSuccessors is how many VMs monitor the grantor closely, the grantor itself
	// counted, which mostly has the first place.
	closeSuccessors = 4
	// leastTerm is how long a VM that leaves must still have to succeed a grantor.
	leastTerm = time.Second
	// monitorEvery is how often a VM checks whether it is one of them.
	monitorEvery = time.Second
	// strandedAfter is how long the grantor must have been without the store, and
	// this VM with it. After an outage VMs find the store again within
	// StorePause of each other.
	strandedAfter = 600 * time.Millisecond
	// strandedPeriods is for how many periods of heartbeats it must have been so: the
	// grantor's next heartbeat may say that it has found a relay.
	strandedPeriods = 1
	// confirmEvery is how often the epoch is confirmed at the store, three times
	// within the authority.
	confirmEvery = lease.Authority / 3
	// relayedConfirmEvery is how often it is confirmed through another VM.
	relayedConfirmEvery = 500 * time.Millisecond
	// listSettles is how long the list of targets must have been the same before
	// the keys are dealt for the first time, listMost how long that may take.
	listSettles = 700 * time.Millisecond
	listMost    = 3 * time.Second
	// slicesPerOwner is how many slices each owner gets at first; slicesMost
	// bounds them, since each is renewed by a call of its own.
	slicesPerOwner = 16
	slicesMost     = 512
	// silentOwner is how long an owner may leave its renewals unanswered before
	// its keys are given to others.
	silentOwner = 1200 * time.Millisecond
)

// candidate takes part in the succession of one service's grantor, and leads while it is the
// grantor.
type candidate struct {
	*Manager
	service string

	// orderUntil is until when orders may be sent, on the clock that counts
	// suspended time; 0 while this VM is not the grantor.
	orderUntil atomic.Int64

	// storeProvenSince is since when the store has answered this VM while the grantor, which
	// lives, was stranded; 0 while it was not.
	storeProvenSince time.Duration
	// monitorNext is when this VM checks again whether it should monitor the grantor.
	monitorNext time.Duration
	// strandedSince is since when the grantor does not reach the store.
	strandedSince time.Duration
	// listChanged and listSeen date the list of targets for the first dealing.
	listRevision uint64
	listChanged  time.Duration
	listSeen     time.Duration
}

// run takes over whenever it is this VM's turn, until the context ends.
func (c *candidate) run(ctx context.Context) {
	c.resume(ctx)
	var due time.Duration
	for pause.For(ctx, candidateStep) {
		now := c.Clock.Now()
		c.monitorGrantor(now)
		rank, stands := c.succession()
		if stands || rank < 0 {
			due = 0
			continue
		}
		if due == 0 {
			due = now + time.Duration(rank)*rankPause
		}
		if now < due {
			continue
		}
		due = 0
		if err := c.takeOver(ctx); err != nil {
			c.Log.Warn().Str("step", "leases").Str("service", c.service).Int("rank", rank).Err(err).Msg("not taken over")
		}
	}
}

// monitorGrantor has this VM monitor the grantor closely while it is one of the first
// successors: in a large fleet a VM counts as lost only after more than a hold.
func (c *candidate) monitorGrantor(now time.Duration) {
	if now < c.monitorNext {
		return
	}
	c.monitorNext = now + monitorEvery
	holder := ""
	if r := c.Leases.Of(c.service); r != nil && r.Holder != c.Self.VM && c.LocalState.Place(c.service) < closeSuccessors {
		holder = r.Holder
	}
	c.Mesh.Monitor(c.service, holder)
}

// resume takes over at once where this VM was the grantor before its process
// ended.
// When all processes restart at once, the VM that the record names needs no agreement, and keys
// would expire while the VMs meet.
func (c *candidate) resume(ctx context.Context) {
	for !c.LocalState.Listed() {
		if !pause.For(ctx, leadStep) {
			return
		}
	}
	r, _, err := c.read(ctx)
	if err != nil || r.Holder != c.Self.VM || r.HolderAddr != c.Self.Addr || r.Incarnation == c.Self.Incarnation {
		return
	}
	if err := c.takeOver(ctx); err != nil {
		c.Log.Warn().Str("step", "leases").Str("service", c.service).Err(err).Msg("not resumed")
	}
}

// succession returns this VM's rank among the successors, and whether the present grantor
// stands.
func (c *candidate) succession() (rank int, stands bool) {
	now := c.Clock.Now()
	leaving := c.LocalState.Leaving()
	if now-c.startedAt < meetTime || leaving && c.LocalState.EndsIn() < leastTerm {
		return -1, false
	}
	r := c.Leases.Of(c.service)
	if r != nil && r.Holder != c.Self.VM && c.Mesh.IsLive(r.Holder, r.Incarnation) && !c.stranded(r.Holder) {
		c.storeProvenSince = 0
		return -1, true
	}
	if r != nil && r.Holder == c.Self.VM && r.Incarnation == c.Self.Incarnation {
		// Our own epoch ended on a conflict of its record. The others still see a
		// grantor that lives; waiting for a place in the line would let the keys
		// lapse.
		return 0, false
	}
	rank = c.LocalState.Place(c.service)
	if leaving {
		rank += min(c.Mesh.NonLeavingPeers(), closeSuccessors)
	}
	if int64(now) < c.unfitUntil.Load() {
		// All others come first; but where all resigned, one must do it.
		rank += c.Mesh.Size()
	}
	return rank, false
}

// stranded reports whether the store has turned the grantor away for a while, and
// answers this VM.
// Such a grantor renews what it granted, but cannot move the keys of targets that leave or fail.
func (c *candidate) stranded(holder string) bool {
	now := c.Clock.Now()
	if !c.LocalState.StoreUp() || c.Mesh.ReachesStoreByAnyPath(holder) {
		c.strandedSince = 0
		return false
	}
	if c.strandedSince == 0 {
		c.strandedSince = now
	}
	return now-c.strandedSince > c.strandedLeast()
}

// strandedLeast is for how long the grantor must be without the store, and this VM with it,
// until it is succeeded.
func (c *candidate) strandedLeast() time.Duration {
	return max(strandedAfter, strandedPeriods*c.Mesh.Period())
}

// storeProven reports whether the store has answered this VM's reads of the record for long
// enough to succeed a grantor that lives. A VM that made no call during an outage takes the
// store for up all the while; at its end the grantor needs a moment to find the store again.
func (c *candidate) storeProven(old lease.Record) bool {
	if old.Resigned || old.Holder == c.Self.VM || !c.Mesh.IsLive(old.Holder, old.Incarnation) {
		return true
	}
	now := c.Clock.Now()
	if c.storeProvenSince == 0 {
		c.storeProvenSince = now
	}
	return now-c.storeProvenSince > c.strandedLeast()
}

// takeOver makes this VM the grantor and leads until it is succeeded.
func (c *candidate) takeOver(ctx context.Context) error {
	old, version, err := c.read(ctx)
	fresh := errors.Is(err, platform.ErrNotFound)
	if err != nil && !fresh {
		c.storeProvenSince = 0
		return err
	}
	next := old
	if fresh {
		owners := c.firstOwners()
		if owners == nil {
			return nil
		}
		next = lease.Record{Service: c.service, Slices: lease.EvenSlices(min(slicesPerOwner*len(owners), slicesMost), owners)}
	} else if c.stillLed(old) || !c.storeProven(old) {
		return nil
	}
	past := c.past(old, fresh)
	next.Epoch, next.Resigned = old.Epoch+1, false
	next.Holder, next.HolderAddr, next.Incarnation = c.Self.VM, c.Self.Addr, c.Self.Incarnation
	sent := c.Clock.Now()
	version, err = c.write(ctx, next, version)
	if err != nil {
		return err
	}
	done := c.Clock.Now()
	timing := lease.Timing{Hold: min(lease.HoldTime, c.HoldMost), Renew: renewEvery, Retry: orderRetry, Cold: c.coldMove()}
	c.Log.Info().Str("step", "leases").Str("service", c.service).Uint64("epoch", next.Epoch).Str("before", old.Holder).
		Int("slices", len(next.Slices)).Int("past", int(past)).Msg("grantor of the service")
	grants := lease.NewGrantor(next, timing, sent, done, past)
	c.presume(grants, old)
	newLeader(c, grants, version).run(ctx)
	return nil
}

// presume has the owners that the predecessor granted last count as serving their keys for
// as long as its grants last. They are dated from its last heartbeat.
func (c *candidate) presume(grants *lease.Grantor, old lease.Record) {
	last := c.Leases.Of(c.service)
	heard, known := c.Mesh.LastHeard(old.Holder, old.Incarnation)
	if last == nil || last.Epoch != old.Epoch || !known {
		return
	}
	grants.PresumeServed(last, heard+min(lease.HoldTime, c.HoldMost)-renewEvery)
}

// coldMove is how long keys are slow at an owner that got them without the state of
// the last one.
func (c *candidate) coldMove() time.Duration {
	t := c.TargetDirectory.View().Routes
	if t == nil {
		return 0
	}
	return t.Config().Services[c.service].ColdMove
}

// past returns what may still be in force of the grantor before. Its process has
// ended for sure where another one runs at its address: this one, or one that the
// mesh knows.
func (c *candidate) past(old lease.Record, fresh bool) lease.PriorGrants {
	switch {
	case fresh:
		return lease.NoPriorGrants
	case old.Resigned, c.Mesh.Replaced(old.Holder, old.HolderAddr, old.Incarnation):
		return lease.PriorGrantsEnded
	}
	return lease.PriorGrantsUnknown
}

// stillLed reports whether the record names a grantor that lives, and makes it
// known: no heartbeat had named it yet.
func (c *candidate) stillLed(r lease.Record) bool {
	if r.Resigned || r.Holder == c.Self.VM || !c.Mesh.IsLive(r.Holder, r.Incarnation) || c.stranded(r.Holder) {
		return false
	}
	old := c.Leases.Of(c.service)
	if old != nil && old.Epoch == r.Epoch && old.Holder == "" {
		// It said that it resigned, and could not write it.
		return false
	}
	if old == nil || r.Epoch > old.Epoch {
		c.Leases.Set(lease.NewRouting(r, 0, func(int) lease.SliceState { return lease.Served }))
	}
	return true
}
