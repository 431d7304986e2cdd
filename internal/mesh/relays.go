package mesh

import (
	"cmp"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
)

// ReachesStore reports whether a VM said that the store answers it.
func (m *Mesh) ReachesStore(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	return r != nil && r.heartbeat.From.VM != "" && !r.heartbeat.StoreLost
}

// ReachesStoreByAnyPath reports whether the store answers a VM, directly or through
// another VM.
func (m *Mesh) ReachesStoreByAnyPath(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	return r != nil && r.heartbeat.From.VM != "" && (!r.heartbeat.StoreLost || r.heartbeat.StoreRelayed)
}

// StoreRelays returns the live VMs that the store answers directly, in this VM's own order of
// preference, so that VMs share the work.
func (m *Mesh) StoreRelays() []Member {
	var relays []Member
	for _, member := range m.Live() {
		if member.VM != m.self.VM && m.ReachesStore(member.VM) {
			relays = append(relays, member)
		}
	}
	return ByPreference(relays, m.self.VM)
}

// ByPreference returns the members in order of preference for a duty: those with much faster
// links first, and in an order that the duty's name determines.
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

// Rank returns this VM's place, from 0, in the order of preference for a duty of the live
// VMs that are fit for it. This VM is in it in any case.
func (m *Mesh) Rank(duty string, fit func(vm string) bool) int {
	place := 0
	for _, other := range m.liveUnsorted() {
		if other.VM != m.self.VM && m.self.ranksBelow(other, duty) && fit(other.VM) {
			place++
		}
	}
	return place
}

// RankAmongLeaving returns the place of this VM, which leaves, in the order of preference
// for a duty of the live VMs that leave.
func (m *Mesh) RankAmongLeaving(duty string) int {
	place := 0
	for _, other := range m.liveOthers(true) {
		if m.self.ranksBelow(other, duty) {
			place++
		}
	}
	return place
}

// NonLeavingPeers returns the number of other live VMs that are not leaving.
func (m *Mesh) NonLeavingPeers() int { return len(m.liveOthers(false)) }

// ranksBelow reports whether another VM comes before this one in the order for a duty.
func (m Member) ranksBelow(other Member, duty string) bool {
	if mine, theirs := m.LinkClass(), other.LinkClass(); mine != theirs {
		return theirs > mine
	}
	return rendezvous.Before(other.VM, m.VM, duty)
}
