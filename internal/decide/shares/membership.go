package shares

import (
	"slices"
	"time"
)

// membership holds the VMs that an entry counts and whether it has a base; see rule 1 of
// the package comment.
type membership struct {
	self        string
	incarnation int64
	started     time.Duration
	counted     map[string]*countedVM
	// removed holds when VMs were removed. For a while they are ignored in the messages of
	// peers; otherwise entries would keep adding a removed VM to each other's sets.
	removed map[string]time.Duration
	// listReceived is false until the platform's list has arrived: an entry that knows of
	// no other VM must not conclude that there is none.
	listReceived bool
	// hasBase stays true for the rest of the incarnation. The base is provisional if not
	// every VM has confirmed; see allRestarted.
	hasBase     bool
	provisional bool
}

// countedVM holds what is known about a counted VM.
type countedVM struct {
	listed bool
	// everListed reports whether this entry's own list has ever contained the VM.
	everListed bool
	// incarnation is the highest one seen in its messages, 0 before the first message.
	incarnation int64
	// confirmedBy is the incarnation that confirmed that it counts this entry, 0 for none.
	confirmedBy int64
	// hasBase is what its last answer said about its base.
	hasBase bool
	// lastHeard is when its last message arrived, or when it was first counted.
	lastHeard time.Duration
	answered  bool
	// lastAnswered is the Seq of the last ask to the VM whose answer was applied.
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

// recordMessage records a message from a VM and the VMs that it counts. ok is false for a
// message of an earlier incarnation; restarted is true for the first message of a new one.
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

// expire removes VMs that the platform no longer lists.
//
// Failure: a VM is added while this entry is partitioned from the platform and learns
// of the VM from its messages only. The VM is missing from the stale list, although it
// runs; removing it would enlarge this entry's base while the new VM has one too. So only
// a VM that has been on this entry's own list can be removed.
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

// confirmed reports whether every counted VM has confirmed in its current incarnation.
//
// Failure: a VM restarts after it confirmed and no longer knows this entry. This is safe:
// the VM has no base until this entry has confirmed in turn.
func (m *membership) confirmed() bool {
	for vm, c := range m.counted {
		if vm != m.self && (c.confirmedBy == 0 || c.confirmedBy != c.incarnation) {
			return false
		}
	}
	return true
}

// updateBase gives this entry a base once the conditions are met. A provisional base
// becomes final when all counted VMs have confirmed.
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

// allRestarted reports whether the fleet was restarted: all VMs answer except at most a
// quarter, and none that answers has a base. Without this rule, a listed VM that never
// answers would keep every entry from admitting anything until the platform drops the VM.
//
// Failure: two entries with a base are partitioned, three others are restarted or new. If
// a majority of the five were enough, the three would take up bases next to that of an
// entry that does not count the newest VM. The fewer VMs may be silent, the fewer can have
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

// base returns the part of every contract that this entry owns, 0 while it has none.
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
