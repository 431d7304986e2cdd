package mesh

import (
	"cmp"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
)

// ReachesStore reports whether a VM's last heartbeat said that it reaches the store directly.
func (m *Mesh) ReachesStore(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	return r != nil && r.heartbeat.From.VM != "" && !r.heartbeat.StoreLost
}

// ReachesStoreByAnyPath reports whether a VM's last heartbeat said that it reaches the store,
// directly or through another VM.
func (m *Mesh) ReachesStoreByAnyPath(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	return r != nil && r.heartbeat.From.VM != "" && (!r.heartbeat.StoreLost || r.heartbeat.StoreRelayed)
}

// StoreRelays returns the live VMs that have not reported that they do not reach the store directly, in order
// of preference: those that the store has answered lately come first, because the others may not know that their
// calls are left unanswered. The order differs between VMs, so that the relays share the work.
func (m *Mesh) StoreRelays() []Member {
	var answered, others []Member
	for _, member := range m.Live() {
		switch {
		case member.VM == m.self.VM || !m.ReachesStore(member.VM):
		case m.storeAnswered(member.VM):
			answered = append(answered, member)
		default:
			others = append(others, member)
		}
	}
	return append(ByPreference(answered, m.self.VM), ByPreference(others, m.self.VM)...)
}

func (m *Mesh) storeAnswered(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	return r != nil && r.heartbeat.StoreAnswered
}

// ByPreference returns the members in order of preference for a duty: by link class, fastest
// first, and within a class by rendezvous hashing of the duty's name.
func ByPreference(members []Member, duty string) []Member {
	candidates := make([]rendezvous.Candidate, len(members))
	for i, member := range members {
		candidates[i] = rendezvous.Candidate{VM: member.VM}
	}
	order := rendezvous.Rank(candidates, duty, "")
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(members[j].LinkClass(), members[i].LinkClass()) })
	out := make([]Member, len(order))
	for at, i := range order {
		out[at] = members[i]
	}
	return out
}

// Rank returns this VM's rank, from 0, in the order of preference for a duty among the live VMs
// that are fit for it and not leaving. This VM itself is not tested for fitness.
func (m *Mesh) Rank(duty string, fit func(vm string) bool) int {
	place := 0
	for _, vm := range m.preceding(duty, false) {
		if fit(vm) {
			place++
		}
	}
	return place
}

// preceding returns the other live VMs that precede this one in the order of preference for a duty, those that are
// leaving or those that are not.
func (m *Mesh) preceding(duty string, leaving bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []string
	for vm, r := range m.remotes {
		if r.heartbeat.Leaving == leaving && m.precedesLocked(r, duty) && m.liveLocked(r, now) {
			out = append(out, vm)
		}
	}
	return out
}

// precedesLocked reports whether a VM precedes this one in the order of preference for a duty. Duties are few, and the
// result does not change while the VM's process runs. The caller holds m.mu.
func (m *Mesh) precedesLocked(r *remote, duty string) bool {
	precedes, known := r.precedes[duty]
	if !known {
		if r.precedes == nil {
			r.precedes = make(map[string]bool)
		}
		precedes = m.self.ranksBelow(r.member, duty)
		r.precedes[duty] = precedes
	}
	return precedes
}

// RankAmongLeaving returns this VM's rank, from 0, in the order of preference for a duty among
// the live VMs that are leaving. This VM is one of them.
func (m *Mesh) RankAmongLeaving(duty string) int {
	return len(m.preceding(duty, true))
}

// AllKnowStandbys reports whether no VM that was heard of is of a version that ignores the standbys in records of leases.
func (m *Mesh) AllKnowStandbys() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.remotes {
		if r.heartbeat.From.VM != "" && !r.heartbeat.KnowsStandbys {
			return false
		}
	}
	return true
}

// NonLeavingPeers returns the number of other live VMs that are not leaving.
func (m *Mesh) NonLeavingPeers() int { return len(m.liveOthers(false)) }

// ranksBelow reports whether another VM precedes this one in the order of preference for a duty.
func (m Member) ranksBelow(other Member, duty string) bool {
	if mine, theirs := m.LinkClass(), other.LinkClass(); mine != theirs {
		return theirs > mine
	}
	return rendezvous.Before(other.VM, m.VM, duty)
}
