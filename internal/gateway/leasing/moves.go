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

// moveCause is why keys get another owner, for the log.
type moveCause string

// The causes of moves. The first three are those for which an owner does not count as live.
const (
	ownerNotListed moveCause = "owner not listed"
	ownerEnded     moveCause = "owner ended"
	ownerSilent    moveCause = "owner silent"
	ownerLoaded    moveCause = "owner loaded"
	ownersUneven   moveCause = "owners uneven"
)

// writePlanned plans who should own what and starts the write of changes.
func (l *leader) writePlanned(ctx context.Context, now time.Duration) {
	if l.writing || now < l.planNext || !l.LocalState.StoreReachable() {
		return
	}
	l.planNext = now + planEvery
	l.recordIncarnations()
	var changes []lease.Change
	var cause moveCause
	if !l.unsettled {
		if changes, cause = l.plan(now); len(changes) == 0 {
			return
		}
	}
	next := l.grants.Plan(changes)
	l.logPlanned(changes, cause, now)
	l.writing = true
	version := l.version
	go func() {
		sent := l.Clock.Now()
		written, err := l.write(ctx, next, version)
		l.enqueue(ctx, func() { l.written(next, written, sent, err) })
	}()
}

// logPlanned writes a line for each change of an owner that is planned.
func (l *leader) logPlanned(changes []lease.Change, cause moveCause, now time.Duration) {
	listed, revision := l.owners(), l.TargetDirectory.View().Targets.Revision
	for _, c := range changes {
		s := l.grants.Record().Slices[c.Slice]
		why := cause
		if why == "" {
			why = l.absence(s.Owner, listed)
		}
		l.Log.Info().Str("step", "move").Str("service", l.service).Uint16("from", s.From).Str("owner", s.Owner.ID).
			Str("to", c.To.ID).Str("cause", string(why)).Dur("silent", l.grants.SilentFor(s.Owner, now)).
			Uint64("targets", revision).Msg("keys get another owner")
	}
}

func (l *leader) written(next lease.Record, version uint64, sent time.Duration, err error) {
	l.writing = false
	if err == nil {
		l.version, l.unsettled = version, false
		l.grants.Commit(next, sent)
		return
	}
	l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("record not written")
	switch {
	case errors.Is(err, platform.ErrConflict):
		// Another's write stands, or a lost one of ours: begin again from it.
		l.deposed = true
	case errors.Is(err, platform.ErrAmbiguous):
		// A grantor that gave up now would find no store to begin again, and all keys would expire.
		l.unsettled = true
	case !l.unsettled:
		l.grants.Abandon()
	}
}

// plan returns the changes of owners that are wanted now and their cause, which is empty where
// the owners are not live.
func (l *leader) plan(now time.Duration) ([]lease.Change, moveCause) {
	record := l.grants.Record()
	live := l.live(now)
	if len(live) == 0 {
		return nil, ""
	}
	rehomed := lease.Reassign(record.Slices, live)
	rehomed = slices.DeleteFunc(rehomed, func(c lease.Change) bool { return !l.grants.Movable(c.Slice) })
	if len(rehomed) > 0 {
		return rehomed, ""
	}
	if changes := l.spread(live, now); len(changes) > 0 {
		return changes, ownerLoaded
	}
	if l.moving() >= evenMoving || !lease.Unbalanced(record.Slices, live) {
		return nil, ""
	}
	return lease.Rebalance(record.Slices, live, l.targetLoad(live, now)), ownersUneven
}

// absence returns why an owner does not count as live, by the list of those that may own keys.
func (l *leader) absence(o lease.Owner, listed []lease.Owner) moveCause {
	switch {
	case !slices.ContainsFunc(listed, o.SameIncarnation):
		return ownerNotListed
	case l.grants.HasEnded(o):
		return ownerEnded
	}
	return ownerSilent
}

// live returns the owners that answer their orders.
func (l *leader) live(now time.Duration) []lease.Owner {
	var live []lease.Owner
	for _, o := range l.owners() {
		if l.grants.SilentFor(o, now) < silentOwner && !l.grants.HasEnded(o) {
			live = append(live, o)
		}
	}
	return live
}

// targetLoad returns the measured load of slices and owners.
func (l *leader) targetLoad(live []lease.Owner, now time.Duration) lease.TargetLoad {
	ranges, _, capacity := l.loads(live, now)
	load := make(map[lease.Owner]float64, len(live))
	for i, v := range keyspread.Loads(ranges, capacity) {
		load[live[i]] = v
	}
	return lease.TargetLoad{
		Moving: func(i int) bool { return ranges[i].Fixed },
		Rate:   func(i int) float64 { return ranges[i].Rate },
		Busy:   func(o lease.Owner) bool { return keyspread.Busy(load[o]) },
	}
}

// moving counts the slices that are on the move.
func (l *leader) moving() int {
	n := 0
	for _, s := range l.grants.Record().Slices {
		if s.Previous.Known() {
			n++
		}
	}
	return n
}

// logMoves writes a line for each step of a move of keys: which target may hold them
// follows from these lines and those of orders that were not done.
func (l *leader) logMoves(now time.Duration) {
	for _, e := range l.grants.TakeEvents() {
		entry := l.Log.Info().Str("step", "lease").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).
			Uint16("from", e.From).Uint16("to", e.To).Stringer("how", e.Kind).Str("owner", e.Owner.ID).Uint64("fence", e.Fence)
		if e.Previous.Known() {
			entry = entry.Str("previous", e.Previous.ID).Dur("free", now-e.PreviousHoldEnd)
		}
		entry.Msg("keys on the move")
	}
}
