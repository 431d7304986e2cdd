package shares

import (
	"slices"
	"time"
)

// roster is which VMs an entry counts, and whether it has a base; rule 1.
type roster struct {
	self        string
	incarnation int64
	started     time.Duration
	counted     map[string]*counted
	// struck is when VMs were struck off. What peers say about them is
	// ignored for a while: they would remind each other of one for ever.
	struck map[string]time.Duration
	// listed is false until the platform's list came: an entry that knows
	// nobody must not believe that it is alone.
	listed bool
	// based never becomes false again in this life. It is provisional where
	// not every VM confirmed; see allRestarted.
	based       bool
	provisional bool
}

// counted is what is known of a VM that counts.
type counted struct {
	listed bool
	// once says that this entry's own list named it at some time.
	once bool
	// incarnation is the latest heard of, 0 for none.
	incarnation int64
	// confirmedBy is the incarnation that confirmed to count this entry.
	confirmedBy int64
	// based is the VM's last word about its own base.
	based bool
	// heard is when its last message came, or when it was first counted.
	heard    time.Duration
	answered bool
	// taken is the Seq of the last ask to it whose answer was taken.
	taken uint64
}

func newRoster(vm string, incarnation int64, now time.Duration) roster {
	r := roster{self: vm, incarnation: incarnation, started: now, counted: make(map[string]*counted), struck: make(map[string]time.Duration)}
	r.counted[vm] = &counted{listed: true, incarnation: incarnation, heard: now}
	return r
}

func (r *roster) list(vms []string, now time.Duration) {
	if len(vms) == 0 {
		return
	}
	r.listed = true
	for _, c := range r.counted {
		c.listed = false
	}
	for _, vm := range vms {
		c := r.count(vm, now)
		c.listed, c.once = true, true
	}
	r.counted[r.self].listed = true
}

func (r *roster) count(vm string, now time.Duration) *counted {
	c := r.counted[vm]
	if c == nil {
		c = &counted{heard: now}
		r.counted[vm] = c
	}
	return c
}

// record notes a message of a VM and the VMs that it counts. It returns false for
// a message of an earlier life, and renewed for the first one of a new life.
func (r *roster) record(vm string, incarnation int64, others []string, now time.Duration) (ok, renewed bool) {
	c := r.count(vm, now)
	if incarnation < c.incarnation {
		return false, false
	}
	renewed = incarnation > c.incarnation
	c.incarnation, c.heard = incarnation, now
	for _, other := range others {
		if _, gone := r.struck[other]; !gone {
			r.count(other, now)
		}
	}
	return true, renewed
}

// expire strikes off VMs that the platform no longer lists.
//
// Failure: a VM is added while this entry is cut off from the platform, and is
// known from its messages only. The old list lacks it, which does not mean that
// it is gone: to strike it off would enlarge this entry's base beside the new
// VM's. So only a VM that this entry's own list once named can be struck off.
func (r *roster) expire(now time.Duration) {
	for vm, c := range r.counted {
		if vm != r.self && c.once && !c.listed && now-c.heard > holdDown {
			delete(r.counted, vm)
			r.struck[vm] = now
		}
	}
	for vm, at := range r.struck {
		if now-at > 2*holdDown {
			delete(r.struck, vm)
		}
	}
}

// confirmed reports whether every VM that counts confirmed in its present life.
//
// Failure: a VM restarts after it confirmed and forgets this entry. It has no
// base of its own until this entry confirmed in turn, so nothing is lost.
func (r *roster) confirmed() bool {
	for vm, c := range r.counted {
		if vm != r.self && (c.confirmedBy == 0 || c.confirmedBy != c.incarnation) {
			return false
		}
	}
	return true
}

// settle decides whether this entry has a base from now on.
func (r *roster) settle(now time.Duration) {
	switch {
	case r.based && !r.provisional || !r.listed:
	case len(r.counted) == 1 && now-r.started < listLag:
	case r.confirmed():
		r.based, r.provisional = true, false
	case !r.based && r.allRestarted(now):
		r.based, r.provisional = true, true
	}
}

// allRestarted is the way out when the fleet was restarted and some VM that is
// listed never answers: all VMs answer but a quarter, and none of them has a base.
// Without it no entry would admit anything until the platform drops the VM.
//
// Failure: two entries with a base are cut off, three others are restarted or new.
// A majority of the five once was enough for these to take up bases, beside one
// that did not count the newest VM. The fewer may be silent, the fewer can have
// too large a base.
func (r *roster) allRestarted(now time.Duration) bool {
	if now-r.started < patience {
		return false
	}
	silent := 0
	for vm, c := range r.counted {
		if vm == r.self {
			continue
		}
		if !c.answered || now-c.heard > heardWithin {
			silent++
			continue
		}
		if c.based || c.confirmedBy != c.incarnation {
			return false
		}
	}
	return silent <= max(1, len(r.counted)/4)
}

// base is the part of every contract that this entry owns.
func (r *roster) base(now time.Duration) Units {
	r.settle(now)
	if !r.based {
		return 0
	}
	return Whole / Units(len(r.counted))
}

func (r *roster) names() []string {
	out := make([]string, 0, len(r.counted))
	for vm := range r.counted {
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}
