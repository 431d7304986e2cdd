// Package sources chooses from which VM to fetch a version that several VMs have.
//
// The load pattern is a large new version that all VMs fetch at once from the few that had
// it first: their links are full, and each fetch times out. A VM whose link is busy names
// those that it has served, so the number of sources doubles with each round, and a fetch
// that fails goes on at another source.
package sources

import "slices"

// Sources are the VMs that are known to have a version. They are not safe for concurrent use.
type Sources struct {
	vms      []string
	attempts map[string]int
}

// New returns sources that begin with the given VM.
func New(first string) *Sources {
	s := &Sources{attempts: make(map[string]int)}
	s.Add(first)
	return s
}

// Add adds VMs that have the version.
func (s *Sources) Add(vms ...string) {
	for _, vm := range vms {
		if !slices.Contains(s.vms, vm) {
			s.vms = append(s.vms, vm)
		}
	}
}

// Next returns one of the VMs that were tried least, and counts the try. draw returns a
// number from 0 to n-1: VMs that know the same sources must not all choose the same.
func (s *Sources) Next(randIntN func(n int) int) string {
	var least []string
	for _, vm := range s.vms {
		switch {
		case len(least) == 0 || s.attempts[vm] < s.attempts[least[0]]:
			least = []string{vm}
		case s.attempts[vm] == s.attempts[least[0]]:
			least = append(least, vm)
		}
	}
	vm := least[randIntN(len(least))]
	s.attempts[vm]++
	return vm
}
