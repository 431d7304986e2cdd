// Package subset decides which part of a pool of targets a VM uses.
//
// Load pattern: many VMs share a pool of many targets. Where each VM uses all of them, a VM meets a
// target so seldom that it learns nothing of its speed, opens a connection for nearly every
// request, and knows what the others have there only as of seconds ago.
//
// VMs and targets are spread evenly over a ring, each by its place in a list that all VMs
// sort alike. A VM uses the targets that follow its own place. So each target is used by the
// same number of VMs, which are neighbours, and a VM that comes or goes moves the windows of
// the others by a fraction of a place only.
package subset

import (
	"math"
	"time"
)

const (
	// minTargets is the least number of targets that a VM chooses from.
	minTargets = 4
	// minSharers is the least number of VMs that use a target, so that it is used up while
	// some of them have little traffic.
	minSharers = 8
	// RefreshEvery is the time between two checks of a VM's place.
	RefreshEvery = time.Second
)

// Place is a VM's place in the list of the VMs that share a list of targets.
type Place struct {
	// Index is the place, from 0.
	Index int
	// VMs is the length of the list.
	VMs int
}

// Size returns how many targets of so many a VM uses.
func Size(targets, vms int) int {
	covering := int(math.Ceil(minSharers * float64(targets) / float64(max(vms, 1))))
	return min(targets, max(minTargets, covering))
}

// Sharers returns how many VMs use a target.
func Sharers(targets, vms int) int {
	if targets == 0 {
		return 0
	}
	return min(vms, int(math.Ceil(float64(Size(targets, vms)*vms)/float64(targets))))
}

// Window returns the indices of the targets that the VM uses, out of so many.
func (p Place) Window(targets int) []int {
	size := Size(targets, p.VMs)
	first := p.Index * targets / max(p.VMs, 1)
	window := make([]int, size)
	for i := range window {
		window[i] = (first + i) % targets
	}
	return window
}

// Shares reports whether the VM at another place of the list uses a target of this VM's
// window, out of so many targets.
func (p Place) Shares(other, targets int) bool {
	distance := (other - p.Index + p.VMs) % max(p.VMs, 1)
	return min(distance, p.VMs-distance) < Sharers(targets, p.VMs)
}
