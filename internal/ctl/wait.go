package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// pollInterval is the pause between two looks at the VMs.
const pollInterval = 100 * time.Millisecond

// LagError says that the wait ended before a version was in force everywhere.
type LagError struct {
	Version uint64 `json:"version"`
	// VMs names each VM that lags and the revision it has in force.
	VMs []VM `json:"vms"`
	// Cause is why nothing is known, where no agent answered.
	Cause error `json:"-"`
}

// Error names the VMs that lag.
func (l *LagError) Error() string {
	if l.Cause != nil {
		return fmt.Sprintf("version %d is stored; whether it is in force is not known: %v", l.Version, l.Cause)
	}
	names := make([]string, len(l.VMs))
	for i, vm := range l.VMs {
		names[i] = fmt.Sprintf("%s (%s, revision %d)", vm.Name, vm.State, vm.InForce)
	}
	return fmt.Sprintf("version %d is stored; not yet in force on %s", l.Version, strings.Join(names, ", "))
}

// Unwrap returns the cause.
func (l *LagError) Unwrap() error { return l.Cause }

// Wait returns once every live VM has the version in force, or a *LagError when
// the context ends. A VM that is listed and silent lags: nobody knows what it
// does. One that leaves takes no new work and is not waited for.
func (f *Fleet) Wait(ctx context.Context, version uint64) error {
	outcome := &LagError{Version: version, Cause: errNoAgent}
	for {
		vms, err := f.VMs(ctx)
		if err == nil {
			outcome = &LagError{Version: version, VMs: laggingVMs(vms, version)}
			if len(outcome.VMs) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return outcome
		}
	}
}

func laggingVMs(vms []VM, version uint64) []VM {
	var out []VM
	for _, vm := range vms {
		if vm.State != Leaving && vm.InForce < version {
			out = append(out, vm)
		}
	}
	return out
}
