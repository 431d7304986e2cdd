// Package boottime provides a monotonic clock that includes the time for which a VM was suspended.
//
// Deadlines of leases and grants are measured with this clock. Go's monotonic clock stops
// while a VM is suspended: a holder that was suspended for a minute would take its lease to
// be valid for a minute too long. CLOCK_BOOTTIME goes on counting, so the first check after
// the suspension finds the lease expired.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since an arbitrary fixed instant and never goes back.
// Functions that make decisions take a reading as an argument, so that tests can supply one.
type Clock interface {
	// Now returns the time since the fixed instant.
	Now() time.Duration
}

// System is CLOCK_BOOTTIME of the machine that the process runs on.
type System struct{}

// Now returns the time since the machine was booted, including time for which it was suspended.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only if the kernel lacks the clock. Leases are unsafe
		// without it, so the process must not continue.
		panic(fmt.Errorf("read CLOCK_BOOTTIME: %w", err))
	}
	return time.Duration(ts.Nano())
}
