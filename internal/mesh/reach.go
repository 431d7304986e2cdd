package mesh

import (
	"cmp"
	"slices"
)

// maxUnreached bounds the targets that a heartbeat lists as not reached.
const maxUnreached = 64

// Unreached returns at most maxUnreached hashes of targets, for a heartbeat.
func Unreached(targets []uint32) []uint32 { return targets[:min(len(targets), maxUnreached)] }

// reaches reports whether a VM's last heartbeat leaves open that it reaches a target. A VM that has
// not tried to reach the target does not report it.
func (b Heartbeat) reaches(target uint32) bool {
	return b.From.VM != "" && !b.CutOff && !slices.Contains(b.Unreached, target)
}

// ReachedBy returns how many of the other live VMs have not reported that they do not reach a
// target, which is named by the hash of its id, and the number of other live VMs.
func (m *Mesh) ReachedBy(target uint32) (reach, others int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, r := range m.remotes {
		if !m.liveLocked(r, now) {
			continue
		}
		others++
		if r.heartbeat.reaches(target) {
			reach++
		}
	}
	return reach, others
}

// Forwarders returns the live VMs that may send requests to a target for this one, sorted by name, and
// the number of all other live VMs that are not leaving. A target is named by the hash of its id; 0 stands
// for any target.
func (m *Mesh) Forwarders(target uint32) (able []Member, others int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, r := range m.remotes {
		if !m.liveLocked(r, now) || r.heartbeat.Leaving {
			continue
		}
		others++
		if r.heartbeat.reaches(target) {
			able = append(able, r.member)
		}
	}
	slices.SortFunc(able, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return able, others
}

// UnreachedBy returns how many of the targets, named by hashes of their ids, a VM has reported that it
// does not reach.
func (m *Mesh) UnreachedBy(vm string, targets []uint32) (unreached int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	if r == nil || !r.heartbeat.CutOff && len(r.heartbeat.Unreached) == 0 {
		return 0
	}
	for _, target := range targets {
		if r.heartbeat.From.VM != "" && !r.heartbeat.reaches(target) {
			unreached++
		}
	}
	return unreached
}
