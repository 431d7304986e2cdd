// Package boottime reads a clock that also counts the time a VM was suspended.
//
// Deadlines of leases and grants are kept on this clock. The runtime's
// monotonic clock stops while a VM is suspended: a holder that was frozen for a
// minute would believe that its lease has a minute left. CLOCK_BOOTTIME goes on
// counting, so the first check after the pause sees the lease as lapsed.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed instant. It never goes back.
// Decisions take its readings as values; tests supply their own.
type Clock interface {
	// Now returns the time since the clock's origin.
	Now() time.Duration
}

// System is the clock of this machine, CLOCK_BOOTTIME.
type System struct{}

// Now returns the time since the machine was booted, suspended time included.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only where the kernel lacks the clock; a lease
		// without a clock is unsafe, so the process must not go on.
		panic(fmt.Errorf("read CLOCK_BOOTTIME: %w", err))
	}
	return time.Duration(ts.Nano())
}
