package shares

import (
	"slices"
	"time"
)

// membership is which VMs an entry counts, and whether it has a base; rule 1.
type membership struct {
	self        string
	incarnation int64
	started     time.Duration
	counted     map[string]*countedVM
	// removed is when VMs were removed off. What peers say about them is
	// ignored for a while: they would remind each other of one for ever.
	removed map[string]time.Duration
	// listReceived is false until the platform's list came: an entry that knows
	// nobody must not believe that it is alone.
	listReceived bool
	// hasBase never becomes false again in this life. It is provisional where
	// not every VM confirmed; see allRestarted.
	hasBase     bool
	provisional bool
}

// countedVM is what is known of a VM that counts.
type countedVM struct {
	listed bool
	// everListed says that this entry's own list named it at some time.
	everListed bool
	// incarnation is the latest heard of, 0 for none.
	incarnation int64
	// confirmedBy is the incarnation that confirmed to count this entry.
	confirmedBy int64
	// hasBase is the VM's last word about its own base.
	hasBase bool
	// lastHeard is when its last message came, or when it was first counted.
	lastHeard time.Duration
	answered  bool
	// lastAnswered is the Seq of the last ask to it whose answer was lastAnswered.
	lastAnswered uint64
}

func newMembership(vm string, incarnation int64, now time.Duration) membership {
	m := membership{self: vm, incarnation: incarnation, started: now, counted: make(map[string]*countedVM), removed: make(map[string]time.Duration)}
	m.counted[vm] = &countedVM{listed: true, incarnation: incarnation, lastHeard: now}
	return m
}

func (m *membership) setVMs(vms []string, now time.Duration) {
	if len(vms) == 0 {
		return
	}
	m.listReceived = true
	for _, c := range m.counted {
		c.listed = false
	}
	for _, vm := range vms {
		c := m.ensureCounted(vm, now)
		c.listed, c.everListed = true, true
	}
	m.counted[m.self].listed = true
}

func (m *membership) ensureCounted(vm string, now time.Duration) *countedVM {
	c := m.counted[vm]
	if c == nil {
		c = &countedVM{lastHeard: now}
		m.counted[vm] = c
	}
	return c
}

// recordMessage notes a message of a VM and the VMs that it counts. It returns false for
// a message of an earlier life, and renewed for the first one of a new life.
func (m *membership) recordMessage(vm string, incarnation int64, others []string, now time.Duration) (ok, restarted bool) {
	c := m.ensureCounted(vm, now)
	if incarnation < c.incarnation {
		return false, false
	}
	restarted = incarnation > c.incarnation
	c.incarnation, c.lastHeard = incarnation, now
	for _, other := range others {
		if _, gone := m.removed[other]; !gone {
			m.ensureCounted(other, now)
		}
	}
	return true, restarted
}

// expire strikes off VMs that the platform no longer lists.
//
// Failure: a VM is added while this entry is cut off from the platform, and is
// known from its messages only. The old list lacks it, which does not mean that
// it is gone: to strike it off would enlarge this entry's base beside the new
// VM's. So only a VM that this entry's own list once named can be struck off.
func (m *membership) expire(now time.Duration) {
	for vm, c := range m.counted {
		if vm != m.self && c.everListed && !c.listed && now-c.lastHeard > holdDown {
			delete(m.counted, vm)
			m.removed[vm] = now
		}
	}
	for vm, at := range m.removed {
		if now-at > 2*holdDown {
			delete(m.removed, vm)
		}
	}
}

// confirmed reports whether every VM that counts confirmed in its present life.
//
// Failure: a VM restarts after it confirmed and forgets this entry. It has no
// base of its own until this entry confirmed in turn, so nothing is lost.
func (m *membership) confirmed() bool {
	for vm, c := range m.counted {
		if vm != m.self && (c.confirmedBy == 0 || c.confirmedBy != c.incarnation) {
			return false
		}
	}
	return true
}

// updateBase decides whether this entry has a base from now on.
func (m *membership) updateBase(now time.Duration) {
	switch {
	case m.hasBase && !m.provisional || !m.listReceived:
	case len(m.counted) == 1 && now-m.started < listLagTimeout:
	case m.confirmed():
		m.hasBase, m.provisional = true, false
	case !m.hasBase && m.allRestarted(now):
		m.hasBase, m.provisional = true, true
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
func (m *membership) allRestarted(now time.Duration) bool {
	if now-m.started < silenceTimeout {
		return false
	}
	silent := 0
	for vm, c := range m.counted {
		if vm == m.self {
			continue
		}
		if !c.answered || now-c.lastHeard > reachableWithin {
			silent++
			continue
		}
		if c.hasBase || c.confirmedBy != c.incarnation {
			return false
		}
	}
	return silent <= max(1, len(m.counted)/4)
}

// base is the part of every contract that this entry owns.
func (m *membership) base(now time.Duration) Units {
	m.updateBase(now)
	if !m.hasBase {
		return 0
	}
	return Whole / Units(len(m.counted))
}

func (m *membership) countedVMs() []string {
	out := make([]string, 0, len(m.counted))
	for vm := range m.counted {
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}
