// Package subset decides which targets of a pool a VM uses.
//
// It is for pools of many targets that many VMs share. If each VM used all targets, it
// would send requests to each one so seldom that it could not measure the target's speed,
// would open a connection for nearly every request, and would know the load from other VMs
// only as it was seconds ago.
//
// VMs and targets are spread evenly over a ring, each by its index in a list that all VMs
// sort in the same way. A VM uses a window of targets that starts at its own position. So
// each target is used by about the same number of adjacent VMs, and a VM that joins or
// leaves shifts the windows of the others by a fraction of a position only.
package subset

import (
	"math"
	"time"
)

const (
	// minTargets is the least number of targets that a VM uses, if the pool has so many.
	minTargets = 4
	// minSharers is the least number of VMs that use a target, if there are so many, so
	// that its capacity is used even if some of them have little traffic.
	minSharers = 8
	// RefreshEvery is the interval at which a VM checks its place.
	RefreshEvery = time.Second
)

// Place is the position of a VM in the list of VMs that share a pool of targets.
type Place struct {
	// Index is the position, from 0.
	Index int
	// VMs is the length of the list.
	VMs int
}

// Size returns how many targets a VM uses.
func Size(targets, vms int) int {
	covering := int(math.Ceil(minSharers * float64(targets) / float64(max(vms, 1))))
	return min(targets, max(minTargets, covering))
}

// Sharers returns how many VMs use each target, rounded up.
func Sharers(targets, vms int) int {
	if targets == 0 {
		return 0
	}
	return min(vms, int(math.Ceil(float64(Size(targets, vms)*vms)/float64(targets))))
}

// Window returns the indices of the targets that the VM uses.
func (p Place) Window(targets int) []int {
	size := Size(targets, p.VMs)
	first := p.Index * targets / max(p.VMs, 1)
	window := make([]int, size)
	for i := range window {
		window[i] = (first + i) % targets
	}
	return window
}

// Shares reports whether the VM at index other may use a target of this VM's window.
func (p Place) Shares(other, targets int) bool {
	distance := (other - p.Index + p.VMs) % max(p.VMs, 1)
	return min(distance, p.VMs-distance) < Sharers(targets, p.VMs)
}
