// Package suspicion decides how long a peer may be silent before it is taken for
// lost.
//
// Load pattern: the machines are full, and heartbeats that are due each 95 ms come
// with gaps of 200 or 300 ms. With one fixed bound each gap is a false loss: the
// next grantor takes over, targets are asked again, records are written, and that
// work makes the gaps longer. A bound that is safe under load, though, would make
// every true loss cost as long on quiet days.
//
// The bound is the setting, or twice the longest gap after which the peer spoke
// again lately, whichever is longer, up to a ceiling. The first gap of a busy time
// may be a false loss; the following ones are not. Gaps above the ceiling were true
// losses and teach nothing.
//
// Grounds: twice, since gaps of a starved machine scatter by about that much. Two
// windows of 15 s keep a gap for 15 to 30 s, long enough to span bursts of load, and
// short enough that one stall does not slow the takeovers of the next minute. The
// ceiling leaves time for a grant to run out within the 1 s in which a key must be
// served again.
package suspicion

import "time"

const (
	// gapFactor multiplies the longest gap.
	gapFactor = 2
	// window is half of the memory for gaps.
	window = 15 * time.Second
	// MaxTimeout is the longest silence that is forgiven.
	MaxTimeout = 600 * time.Millisecond
)

// Detector is what is known of one peer's heartbeats. The zero value has heard
// nothing. It is not safe for concurrent use.
type Detector struct {
	lastHeartbeat time.Duration
	seen          bool
	windowStart   time.Duration
	// current and previous are the longest gaps of two windows.
	current, previous time.Duration
}

// RecordHeartbeat notes a sign of life.
func (d *Detector) RecordHeartbeat(now time.Duration) {
	d.rotateWindows(now)
	if gap := now - d.lastHeartbeat; d.seen && gap <= MaxTimeout {
		d.current = max(d.current, gap)
	}
	d.lastHeartbeat, d.seen = now, true
}

func (d *Detector) rotateWindows(now time.Duration) {
	passed := now - d.windowStart
	if passed < window {
		return
	}
	d.previous, d.current = d.current, 0
	if passed >= 2*window {
		d.previous = 0
	}
	d.windowStart = now
}

// ExcludePause moves the last sign of life: nobody listened meanwhile.
func (d *Detector) ExcludePause(pause time.Duration) { d.lastHeartbeat += pause }

// Timeout returns how long the peer may be silent, at least the setting.
func (d *Detector) Timeout(setting time.Duration) time.Duration {
	longest := max(d.current, d.previous)
	return max(setting, min(gapFactor*longest, MaxTimeout))
}

// Alive reports whether the peer's silence is within its bound.
func (d *Detector) Alive(now, setting time.Duration) bool {
	return d.seen && now-d.lastHeartbeat < d.Timeout(setting)
}
