package leasing

import (
	"time"

	"hemlockquay/internal/lease"
)

const (
	// minRelief and maxRelief bound the time for which an owner that refused requests is given no keys. It doubles if
	// the owner refuses again within relapseTime. An owner without keys gets no requests that could show whether it
	// still refuses, so each attempt costs refusals and moves.
	minRelief   = 2 * time.Second
	maxRelief   = 16 * time.Second
	relapseTime = 10 * time.Second
	// refusedCapacity is the capacity of an owner that refuses requests, per second: so little that all of its keys with
	// requests move.
	refusedCapacity = 0.1
)

// reliefs remembers the owners that refuse requests. The times are readings of one clock.
type reliefs map[lease.Owner]*relief

type relief struct{ until, length time.Duration }

// update records whether an owner refuses requests now, and reports whether it is to be relieved of its keys.
func (r reliefs) update(o lease.Owner, refuses bool, now time.Duration) bool {
	e := r[o]
	switch {
	case e == nil && !refuses:
		return false
	case e == nil:
		e = &relief{length: minRelief}
		r[o] = e
	case refuses && now >= e.until:
		e.length = min(2*e.length, maxRelief)
	case now >= e.until+relapseTime:
		delete(r, o)
		return false
	}
	if refuses {
		e.until = now + e.length
	}
	return now < e.until
}

// refusing reports for each owner whether it refuses requests, or did so lately. If more than half of them do, it reports
// none: their keys would only move to owners that refuse as well.
func (l *leader) refusing(owners []lease.Owner, now time.Duration) []bool {
	out := make([]bool, len(owners))
	n := 0
	for i, o := range owners {
		if out[i] = l.reliefs.update(o, l.TargetDirectory.Refusing(o.ID), now); out[i] {
			n++
		}
	}
	if 2*n > len(owners) {
		clear(out)
	}
	return out
}
