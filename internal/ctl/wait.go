package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// pollInterval is the pause between two queries of the VMs' states.
const pollInterval = 100 * time.Millisecond

// LagError reports that a wait ended before a version was in force on every VM.
type LagError struct {
	Version uint64 `json:"version"`
	// VMs are the VMs on which the version is not yet in force.
	VMs []VM `json:"vms"`
	// Cause is set if the state of the VMs is unknown because no agent answered.
	Cause error `json:"-"`
}

// Error lists the VMs on which the version is not in force, with the revision that is.
func (l *LagError) Error() string {
	if l.Cause != nil {
		return fmt.Sprintf("version %d is stored, but it is unknown whether it is in force: %v", l.Version, l.Cause)
	}
	names := make([]string, len(l.VMs))
	for i, vm := range l.VMs {
		names[i] = fmt.Sprintf("%s (%s, revision %d)", vm.Name, vm.State, vm.InForce)
	}
	return fmt.Sprintf("version %d is stored, but not yet in force on %s", l.Version, strings.Join(names, ", "))
}

func (l *LagError) Unwrap() error { return l.Cause }

// Wait returns nil once the version is in force on every VM, or a *LagError when the
// context ends. It also waits for silent VMs, as they may still be working with an older
// version, but not for leaving ones, as they take no new work.
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
