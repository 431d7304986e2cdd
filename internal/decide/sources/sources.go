// Package sources selects the VM from which to fetch a version of a value that several VMs have.
//
// Load pattern: all VMs fetch a large new version at once from the few VMs that received it
// first. The links of these VMs are saturated, and every fetch times out. A VM whose link is busy
// therefore answers with the VMs that it has already sent the version to, so the number of
// sources doubles with each round, and a failed fetch continues at another source.
package sources

import "slices"

// Sources is the set of VMs that are known to have a version, with the number of attempts to fetch
// it from each. It is not safe for concurrent use.
type Sources struct {
	vms      []string
	attempts map[string]int
}

// New returns a set of sources that contains the given VM.
func New(first string) *Sources {
	s := &Sources{attempts: make(map[string]int)}
	s.Add(first)
	return s
}

// Add adds VMs that have the version; known ones are ignored.
func (s *Sources) Add(vms ...string) {
	for _, vm := range vms {
		if !slices.Contains(s.vms, vm) {
			s.vms = append(s.vms, vm)
		}
	}
}

// Next returns a random one of the VMs with the fewest attempts, and counts the attempt.
// randIntN returns a random number from 0 to n-1; the choice is random so that VMs that know the
// same sources do not all choose the same one.
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
