// Package stall notices that a process did not run: it was stopped, its VM was suspended or had no processor, or other work
// held up its goroutines.
//
// Load that it answers: all that arrived meanwhile is read at once afterwards, by a process to which it looks new. What a
// sender withdrew in the meantime lies unread behind it, or on another connection. Where the age of a message cannot be known,
// the length of the stall bounds it.
package stall

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/pause"
)

const (
	// Interval is the interval at which a process shows that it runs.
	Interval = 50 * time.Millisecond
	// maxEcho bounds the time after a stall in which what arrived during it may still be read. It is assumed to be enough
	// to read the receive buffers of all connections.
	maxEcho = 500 * time.Millisecond
)

// Meter measures the stalls of a process. It is safe for concurrent use.
type Meter struct {
	clock boottime.Clock

	mu sync.Mutex
	// shown is when the process last showed that it runs, or 0 before it did.
	shown time.Duration
	// ended is when the last stall ended, length how long it was.
	ended, length time.Duration
}

// NewMeter returns a meter by a clock that counts the time for which the VM was suspended.
func NewMeter(clock boottime.Clock) *Meter { return &Meter{clock: clock} }

// Run measures until ctx ends. observe is called with how late each interval ended, and may be nil.
func (m *Meter) Run(ctx context.Context, observe func(late time.Duration)) {
	for {
		m.show()
		began := m.clock.Now()
		if !pause.For(ctx, Interval) {
			return
		}
		if observe != nil {
			observe(max(m.clock.Now()-began-Interval, 0))
		}
	}
}

// show records that the process runs.
func (m *Meter) show() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if late := m.lateLocked(now); late > 0 && late >= m.echoLocked(now) {
		m.ended, m.length = now, late
	}
	m.shown = now
}

// lateLocked returns how long the process has not shown that it runs beyond an interval. It needs m.mu.
func (m *Meter) lateLocked(now time.Duration) time.Duration {
	if m.shown == 0 {
		return 0
	}
	return max(now-m.shown-Interval, 0)
}

// echoLocked returns the length of the last stall while what arrived during it may still be read. It needs m.mu.
func (m *Meter) echoLocked(now time.Duration) time.Duration {
	if m.length == 0 || now-m.ended > min(m.length, maxEcho) {
		return 0
	}
	return m.length
}

// Recent returns the length of the stall during which a message may have arrived that is read now, or 0. A nil meter returns
// 0.
func (m *Meter) Recent() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return max(m.lateLocked(now), m.echoLocked(now))
}
