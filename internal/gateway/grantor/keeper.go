package grantor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// kindLeases is the kind of the services' lease records.
const kindLeases model.Kind = "hq-leases"

// Figures of leases.
const (
	// holdTime is how long a grant lasts. Keys of a lost owner are free again
	// after it; a lost grantor must be succeeded within it.
	holdTime = 2400 * time.Millisecond
	// renewEvery leaves three more tries within a hold.
	renewEvery = 600 * time.Millisecond
	// orderRetry is the pause after a failed order.
	orderRetry = 100 * time.Millisecond
	// leadStep is the time between two looks of a grantor.
	leadStep = 20 * time.Millisecond
	// meetTime is how long a VM that starts meets the others before it takes over
	// anything: when all start at once, each would succeed the one before.
	meetTime = 400 * time.Millisecond
	// candidateStep is the time between two looks of a VM that is none.
	candidateStep = 100 * time.Millisecond
	// rankPause is by how much the next in line waits longer than the one before.
	rankPause = 400 * time.Millisecond
	// strandedAfter is how long the grantor must have been without the store, and
	// this VM with it. After an outage VMs find the store again within
	// StorePause of each other.
	strandedAfter = 600 * time.Millisecond
	// strandedPeriods is for how many periods of heartbeats it must have been so: the
	// grantor's next heartbeat may say that it has found a relay.
	strandedPeriods = 2
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

// keeper keeps the leases of one service: as their grantor, or ready to become it.
type keeper struct {
	*Keepers
	service string

	// orderUntil is until when orders may be sent, on the clock that counts
	// suspended time; 0 while this VM is not the grantor.
	orderUntil atomic.Int64

	// strandedSince is since when the grantor does not reach the store.
	strandedSince time.Duration
	// listChanged and listSeen date the list of targets for the first dealing.
	listRevision uint64
	listChanged  time.Duration
	listSeen     time.Duration
}

// run keeps the leases until the context ends.
func (k *keeper) run(ctx context.Context) {
	k.resume(ctx)
	var due time.Duration
	for pause.For(ctx, candidateStep) {
		now := k.Clock.Now()
		rank, stands := k.candidate()
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
		if err := k.takeOver(ctx); err != nil {
			k.Log.Warn().Str("step", "leases").Str("service", k.service).Int("rank", rank).Err(err).Msg("not taken over")
		}
	}
}

// resume takes over at once where this VM was the grantor before its process
// ended.
//
// Load pattern: all processes end at the same moment and start again. All keys
// lapse until there is a grantor; the time to meet the others is too long for
// that. The one VM that the record names needs no agreement.
func (k *keeper) resume(ctx context.Context) {
	for !k.Standing.Listed() {
		if !pause.For(ctx, leadStep) {
			return
		}
	}
	r, _, err := k.read(ctx)
	if err != nil || r.Holder != k.Self.VM || r.HolderAddr != k.Self.Addr || r.Incarnation == k.Self.Incarnation {
		return
	}
	if err := k.takeOver(ctx); err != nil {
		k.Log.Warn().Str("step", "leases").Str("service", k.service).Err(err).Msg("not resumed")
	}
}

// candidate returns this VM's place in the line of successors, and whether the
// present grantor stands.
func (k *keeper) candidate() (rank int, stands bool) {
	now := k.Clock.Now()
	if k.Standing.Leaving() || now-k.startedAt < meetTime {
		return -1, false
	}
	r := k.Leases.Of(k.service)
	if r != nil && r.Holder != k.Self.VM && k.Mesh.Lives(r.Holder, r.Incarnation) && !k.stranded(r.Holder) {
		return -1, true
	}
	if r != nil && r.Holder == k.Self.VM && r.Incarnation == k.Self.Incarnation {
		// Our own epoch ended on a conflict of its record. The others still see a
		// grantor that lives; waiting for a place in the line would let the keys
		// lapse.
		return 0, false
	}
	rank = k.Standing.Place(k.service)
	if int64(now) < k.unfitUntil.Load() {
		// All others come first; but where all resigned, one must do it.
		rank += k.Mesh.Size()
	}
	return rank, false
}

// stranded tells whether the store has turned the grantor away for a while, and
// answers this VM.
//
// Failure: the store refuses single VMs while it serves the others. A grantor
// among them renews what it granted, but cannot move a key: those of a target that
// leaves or dies stay without service, or with it for too long.
func (k *keeper) stranded(holder string) bool {
	now := k.Clock.Now()
	if !k.Standing.StoreUp() || k.Mesh.ReachesStoreIndirectly(holder) {
		k.strandedSince = 0
		return false
	}
	if k.strandedSince == 0 {
		k.strandedSince = now
	}
	return now-k.strandedSince > max(strandedAfter, strandedPeriods*k.Mesh.Period())
}

// takeOver makes this VM the grantor and leads until it is succeeded.
func (k *keeper) takeOver(ctx context.Context) error {
	old, version, err := k.read(ctx)
	fresh := errors.Is(err, platform.ErrNotFound)
	if err != nil && !fresh {
		return err
	}
	next := old
	if fresh {
		owners := k.firstOwners()
		if owners == nil {
			return nil
		}
		next = lease.Record{Service: k.service, Slices: lease.Even(min(slicesPerOwner*len(owners), slicesMost), owners)}
	} else if k.stillLed(old) {
		return nil
	}
	past := k.past(old, fresh)
	next.Epoch, next.Resigned = old.Epoch+1, false
	next.Holder, next.HolderAddr, next.Incarnation = k.Self.VM, k.Self.Addr, k.Self.Incarnation
	sent := k.Clock.Now()
	version, err = k.write(ctx, next, version)
	if err != nil {
		return err
	}
	done := k.Clock.Now()
	timing := lease.Timing{Hold: min(holdTime, k.HoldMost), Renew: renewEvery, Retry: orderRetry, Cold: k.coldMove()}
	k.Log.Info().Str("step", "leases").Str("service", k.service).Uint64("epoch", next.Epoch).Str("before", old.Holder).
		Int("slices", len(next.Slices)).Int("past", int(past)).Msg("grantor of the service")
	grants := lease.NewGrantor(next, timing, sent, done, past)
	k.presume(grants, old)
	newLeader(k, grants, version).run(ctx)
	return nil
}

// presume has the owners that the predecessor granted last count as serving their keys for
// as long as its grants last. They are dated from when it was last heard of.
func (k *keeper) presume(grants *lease.Grantor, old lease.Record) {
	last := k.Leases.Of(k.service)
	heard, known := k.Mesh.LastHeard(old.Holder, old.Incarnation)
	if last == nil || last.Epoch != old.Epoch || !known {
		return
	}
	grants.Presume(last, heard+min(holdTime, k.HoldMost)-renewEvery)
}

// coldMove is how long keys are slow at an owner that got them without the state of
// the last one.
func (k *keeper) coldMove() time.Duration {
	t := k.Fleet.View().Routes
	if t == nil {
		return 0
	}
	return t.Config().Services[k.service].ColdMove
}

// past tells what may still be in force of the grantor before. Its process has
// ended for sure where another one runs at its address: this one, or one that the
// mesh knows.
func (k *keeper) past(old lease.Record, fresh bool) lease.Past {
	switch {
	case fresh:
		return lease.NoPast
	case old.Resigned, k.Mesh.Replaced(old.Holder, old.HolderAddr, old.Incarnation):
		return lease.PastEnded
	}
	return lease.PastUnknown
}

// stillLed tells whether the record names a grantor that lives, and makes it
// known: this VM had not heard of it yet.
func (k *keeper) stillLed(r lease.Record) bool {
	if r.Resigned || r.Holder == k.Self.VM || !k.Mesh.Lives(r.Holder, r.Incarnation) || k.stranded(r.Holder) {
		return false
	}
	old := k.Leases.Of(k.service)
	if old != nil && old.Epoch == r.Epoch && old.Holder == "" {
		// It said that it resigned, and could not write it.
		return false
	}
	if old == nil || r.Epoch > old.Epoch {
		k.Leases.Set(lease.NewRouting(r, 0, func(int) lease.SliceState { return lease.Served }))
	}
	return true
}

// firstOwners returns the targets among which the keys are dealt for the first
// time, or nil while more may still come.
func (k *keeper) firstOwners() []lease.Owner {
	view := k.Fleet.View()
	now := k.Clock.Now()
	list := view.ByService[k.service]
	if len(list) == 0 {
		k.listSeen = 0
		return nil
	}
	if k.listSeen == 0 {
		k.listSeen = now
	}
	if view.Targets.Revision != k.listRevision {
		k.listRevision, k.listChanged = view.Targets.Revision, now
	}
	if now-k.listChanged < listSettles && now-k.listSeen < listMost {
		return nil
	}
	return k.owners()
}

// owners returns the targets that may own keys.
func (k *keeper) owners() []lease.Owner {
	list := k.Fleet.View().ByService[k.service]
	out := make([]lease.Owner, len(list))
	for i, t := range list {
		out[i] = lease.Owner{ID: t.ID, Born: t.Born, Addr: t.Addr}
	}
	return out
}

func (k *keeper) id() platform.ID { return platform.ID{Kind: kindLeases, Name: k.service} }

func (k *keeper) read(ctx context.Context) (lease.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.StoreTimeout)
	defer cancel()
	o, err := k.Store.Get(ctx, k.id())
	if err != nil {
		return lease.Record{}, 0, err
	}
	var r lease.Record
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return lease.Record{}, 0, fmt.Errorf("read record of %s: %w", k.service, err)
	}
	if err := r.Check(); err != nil {
		return lease.Record{}, 0, err
	}
	return r, o.Version, nil
}

func (k *keeper) write(ctx context.Context, r lease.Record, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.StoreTimeout)
	defer cancel()
	spec, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode record of %s: %w", k.service, err)
	}
	o, err := platform.Write(ctx, k.Store, platform.Object{Kind: kindLeases, Name: k.service, Version: version, Writer: k.Standing.Tag(), Spec: spec})
	return o.Version, err
}
