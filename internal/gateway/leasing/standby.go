package leasing

import (
	"slices"
	"time"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/lease"
)

const (
	// standbyWriteInterval is the minimum time between two writes of the record that only name standbys. Calls to the
	// store are priced, and every other write names them as well.
	standbyWriteInterval = 2 * time.Second
	// maxReliefMoves bounds the slices that leave refusing owners in one spreadInterval without a write. Decisions of
	// package keyspread have the same bound.
	maxReliefMoves = 12
)

// moveToStandbys moves the keys of owners that are not live to their standbys, and those of owners that refuse requests
// while the record cannot be written. Such moves need no write before them.
func (l *leader) moveToStandbys(now time.Duration) {
	if now < l.nextStandbyMove || now < l.yieldUntil {
		return
	}
	l.nextStandbyMove = now + planInterval
	l.markEndedIncarnations()
	live := l.liveOwners(now)
	if len(live) == 0 {
		return
	}
	refusing := l.refusing(live, now)
	mayRelieve := (!l.LocalState.StoreReachable() || l.writeAmbiguous) && now-l.load.lastSpread >= spreadInterval
	relieved, listed := 0, l.eligibleOwners()
	state := make(map[lease.Owner]ownerFitness, len(live))
	for i, o := range live {
		state[o] = ownerFitness{live: true, refusing: refusing[i]}
	}
	for i, s := range l.grants.Record().Slices {
		owner, standby := state[s.Owner], state[s.Standby]
		if !standby.live || standby.refusing || owner.live && (!owner.refusing || !mayRelieve || relieved >= maxReliefMoves) {
			continue
		}
		if !l.grants.MoveToStandby(i) {
			continue
		}
		cause := ownerRefusing
		if owner.live {
			relieved++
		} else {
			cause = l.absenceCause(s.Owner, listed)
		}
		l.Log.Info().Str("step", "move").Str("service", l.service).Uint16("from", s.From).Str("owner", s.Owner.ID).Str("to", s.Standby.ID).Str("cause", string(cause)).
			Dur("silent", l.grants.SilentFor(s.Owner, now)).Bool("storeReachable", l.LocalState.StoreReachable()).Msg("keys get their standby as owner")
	}
	if relieved > 0 {
		l.load.lastSpread = now
	}
}

// ownerFitness says whether a target may get keys. The zero value is that of a target that is not live.
type ownerFitness struct{ live, refusing bool }

// standbyChooser returns the function that chooses the standby of a slice: a live owner that takes requests, in another
// data centre than this VM if there is any: if the grantor and the standby are lost together, the slice waits until
// authority and hold have expired. A standby that is still fit stays. There are none while a VM might take over that
// ignores them.
func (l *leader) standbyChooser(now time.Duration) func(s lease.Slice) lease.Owner {
	if !l.Mesh.AllKnowStandbys() {
		return func(lease.Slice) lease.Owner { return lease.Owner{} }
	}
	live := l.liveOwners(now)
	refusing, limited := l.refusing(live, now), l.limited(live)
	view := l.TargetDirectory.View()
	var far, near []lease.Owner
	for i, o := range live {
		switch t := view.ByID[o.ID]; {
		case refusing[i], limited[i]:
		case t != nil && t.DataCentre == l.Self.DataCentre:
			near = append(near, o)
		default:
			far = append(far, o)
		}
	}
	fit := far
	if len(fit) == 0 {
		fit = near
	}
	return func(s lease.Slice) lease.Owner {
		if slices.Contains(fit, s.Standby) && !s.Standby.SameIncarnation(s.Owner) {
			return s.Standby
		}
		return bestStandby(fit, s)
	}
}

// bestStandby returns the target with the highest rendezvous score for a slice, except its owner. The standbys of one
// owner's slices are so spread over all other owners.
func bestStandby(fit []lease.Owner, s lease.Slice) (best lease.Owner) {
	for _, o := range fit {
		if !o.SameIncarnation(s.Owner) && (!best.Known() || rendezvous.Before(o.ID, best.ID, sliceName(s))) {
			best = o
		}
	}
	return best
}

func sliceName(s lease.Slice) string { return string([]byte{byte(s.From >> 8), byte(s.From)}) }

// needsStandbys reports whether slices that are not moving have no standby that is fit.
func (l *leader) needsStandbys(now time.Duration) bool {
	if now < l.nextStandbyWrite {
		return false
	}
	l.nextStandbyWrite = now + standbyWriteInterval
	choose := l.standbyChooser(now)
	return slices.ContainsFunc(l.grants.Record().Slices, func(s lease.Slice) bool {
		return !s.Previous.Known() && choose(s) != s.Standby
	})
}
