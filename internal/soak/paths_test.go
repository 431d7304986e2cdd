package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

func TestCutsOfPathsAreReproducibleAndLeaveOneVM(t *testing.T) {
	const over = 20 * time.Second
	drawn := make(map[Kind]int)
	for seed := range uint64(50) {
		s := GeneratePaths(seed, over)
		require.Equal(t, s, GeneratePaths(seed, over))
		require.NoError(t, s.Check())
		for _, f := range s.Faults {
			drawn[f.Kind]++
		}
		for at := time.Duration(0); at < over; at += 100 * time.Millisecond {
			connectedVMs := 0
			for _, vm := range vmNames() {
				if s.stateOf(vm, at) == connected {
					connectedVMs++
				}
			}
			require.Positive(t, connectedVMs, "seed %d at %v", seed, at)
		}
	}
	for _, k := range pathKinds {
		require.Positive(t, drawn[k], k)
	}
}

// Guards against a verdict that passes although VMs that are cut off, or the others, serve too little.
func TestFindsVMsThatServeTooLittleWhileCut(t *testing.T) {
	s := &Schedule{Faults: []Fault{{At: model.Duration(time.Second), Kind: DropPaths, Subject: "vm-1", Duration: model.Duration(8 * time.Second)}}}
	samples := func(vm string, from time.Duration, sent, served int, keyed bool) (out []sample) {
		for i := range sent {
			out = append(out, sample{at: from + time.Duration(i)*time.Millisecond, vm: vm, keyed: keyed, served: i < served})
		}
		return out
	}
	for _, c := range []struct {
		name    string
		samples []sample
		subject string
	}{
		{"served", append(samples("vm-1", 5*time.Second, 100, 90, false), samples("vm-2", 5*time.Second, 100, 100, true)...), ""},
		{"too little", append(samples("vm-1", 5*time.Second, 100, 60, false), samples("vm-2", 5*time.Second, 100, 100, true)...), "vm-1 "},
		{"too early to tell", append(samples("vm-1", 2*time.Second, 100, 0, false), samples("vm-2", 2*time.Second, 100, 100, true)...), ""},
		{"few failures", append(samples("vm-1", 5*time.Second, 12, 2, false), samples("vm-2", 5*time.Second, 100, 100, true)...), ""},
		{"keyed service stops", samples("vm-2", 5*time.Second, 100, 20, true), "keyed service while cut: vm-1 "},
		{"back", samples("vm-1", 12*time.Second, 100, 0, false), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newManualChecker()
			s.checkRates(p.Checker, c.samples)
			if c.subject == "" {
				require.Empty(t, p.Violations())
				return
			}
			p.requireViolation(t, ServedWhileCut, c.subject)
		})
	}
}
