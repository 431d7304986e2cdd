package leasing

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockquay/internal/decide/keyspread"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/platform"
)

// moveCause is the reason for which keys move to another owner, as it is logged.
type moveCause string

// The causes of moves. In the first three cases the owner does not count as live.
const (
	ownerNotListed moveCause = "owner not listed"
	ownerEnded     moveCause = "owner ended"
	ownerSilent    moveCause = "owner silent"
	ownerLoaded    moveCause = "owner loaded"
	ownerRefusing  moveCause = "owner refuses requests"
	ownersUneven   moveCause = "owners uneven"
)

// planAndWrite plans changes of owners and starts to write them to the store.
func (l *leader) planAndWrite(ctx context.Context, now time.Duration) {
	if l.writingRecord || now < l.nextPlan || now < l.yieldUntil || !l.LocalState.StoreReachable() {
		return
	}
	l.nextPlan = now + planInterval
	l.markEndedIncarnations()
	var changes []lease.Change
	var cause moveCause
	if !l.writeAmbiguous {
		if changes, cause = l.plan(now); len(changes) == 0 && !l.grants.Unwritten() && !l.grants.StatesEndedWait(now) && !l.needsStandbys(now) {
			return
		}
	}
	next := l.planRecord(changes, now)
	l.logPlannedMoves(changes, cause, now)
	l.writingRecord = true
	version := l.version
	go func() {
		sent := l.Clock.Now()
		written, err := l.writeRecord(ctx, next, version)
		l.enqueue(ctx, func() { l.handleWriteResult(next, written, sent, err) })
	}()
}

// planRecord returns the record to write. While the end of a write is not known, nothing else changes.
func (l *leader) planRecord(changes []lease.Change, now time.Duration) lease.Record {
	if l.writeAmbiguous {
		return l.grants.Plan(now, changes)
	}
	return l.grants.PlanStandbys(now, changes, l.standbyChooser(now))
}

// logPlannedMoves logs each planned change of an owner.
func (l *leader) logPlannedMoves(changes []lease.Change, cause moveCause, now time.Duration) {
	listed, revision := l.eligibleOwners(), l.TargetDirectory.View().Targets.Revision
	for _, c := range changes {
		s := l.grants.Record().Slices[c.Slice]
		why := cause
		if why == "" {
			why = l.absenceCause(s.Owner, listed)
		}
		l.Log.Info().Str("step", "move").Str("service", l.service).Uint16("from", s.From).Str("owner", s.Owner.ID).
			Str("to", c.To.ID).Str("cause", string(why)).Dur("silent", l.grants.SilentFor(s.Owner, now)).
			Uint64("targets", revision).Msg("keys get another owner")
	}
}

func (l *leader) handleWriteResult(next lease.Record, version uint64, sent time.Duration, err error) {
	l.writingRecord = false
	if err == nil {
		l.version, l.writeAmbiguous = version, false
		l.grants.Commit(next, sent)
		return
	}
	l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("record not written")
	switch {
	case errors.Is(err, platform.ErrConflict):
		// Another VM wrote the record, or an earlier write of this VM was applied although its answer was
		// lost. Start again from the stored record.
		l.epochEnded = true
	case errors.Is(err, platform.ErrAmbiguous):
		// A grantor that gave up now could not start again while the store is down, and all keys would
		// expire.
		l.writeAmbiguous = true
	case !l.writeAmbiguous:
		l.grants.Abandon()
	}
}

// plan returns the changes of owners to make now and their cause. The cause is empty if the owners are
// not live, as each change then has its own.
func (l *leader) plan(now time.Duration) ([]lease.Change, moveCause) {
	record := l.grants.Record()
	live := l.liveOwners(now)
	if len(live) == 0 {
		return nil, ""
	}
	reassigned := lease.Reassign(record.Slices, live)
	reassigned = slices.DeleteFunc(reassigned, func(c lease.Change) bool { return !l.grants.Movable(c.Slice) })
	if len(reassigned) > 0 {
		return reassigned, ""
	}
	if changes := l.spreadLoad(live, now); len(changes) > 0 {
		return changes, ownerLoaded
	}
	if l.countMoving() >= maxMovingToRebalance || !lease.Unbalanced(record.Slices, live) {
		return nil, ""
	}
	return lease.Rebalance(record.Slices, live, l.targetLoad(live, now)), ownersUneven
}

// absenceCause returns why an owner does not count as live. listed are the owners that may own keys.
func (l *leader) absenceCause(o lease.Owner, listed []lease.Owner) moveCause {
	switch {
	case !slices.ContainsFunc(listed, o.SameIncarnation):
		return ownerNotListed
	case l.grants.HasEnded(o):
		return ownerEnded
	}
	return ownerSilent
}

// liveOwners returns the eligible owners that answer their orders and have not ended.
func (l *leader) liveOwners(now time.Duration) []lease.Owner {
	var live []lease.Owner
	mayReplaceSilent := l.mayReplaceSilent(now)
	for _, o := range l.eligibleOwners() {
		silent := mayReplaceSilent && l.grants.SilentFor(o, now) >= ownerSilenceTimeout
		if !silent && !l.grants.HasEnded(o) {
			live = append(live, o)
		}
	}
	return live
}

// targetLoad returns the measured load of slices and owners.
func (l *leader) targetLoad(live []lease.Owner, now time.Duration) lease.TargetLoad {
	ranges, _, capacity := l.sliceLoads(live, now)
	load, limited := make(map[lease.Owner]float64, len(live)), make(map[lease.Owner]bool)
	for i, v := range keyspread.Loads(ranges, capacity) {
		load[live[i]] = v
	}
	refusing := l.refusing(live, now)
	for i, v := range l.limited(live) {
		limited[live[i]] = v || refusing[i]
	}
	return lease.TargetLoad{
		Moving: func(i int) bool { return ranges[i].Fixed },
		Rate:   func(i int) float64 { return ranges[i].Rate },
		Busy:   func(o lease.Owner) bool { return limited[o] || keyspread.Busy(load[o]) },
	}
}

// countMoving returns the number of slices that are moving.
func (l *leader) countMoving() int {
	n := 0
	for _, s := range l.grants.Record().Slices {
		if s.Previous.Known() {
			n++
		}
	}
	return n
}

// logMoveEvents logs each step of a move of keys. These lines, with those of orders that were not
// done, tell which target may hold the keys.
func (l *leader) logMoveEvents(now time.Duration) {
	for _, e := range l.grants.TakeEvents() {
		entry := l.Log.Info().Str("step", "lease").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).
			Uint16("from", e.From).Uint16("to", e.To).Stringer("how", e.Kind).Str("owner", e.Owner.ID).Uint64("fence", e.Fence)
		if e.Previous.Known() {
			entry = entry.Str("previous", e.Previous.ID).Dur("free", now-e.PreviousHoldEnd)
		}
		entry.Msg("keys on the move")
	}
}
