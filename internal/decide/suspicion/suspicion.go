// Package suspicion is a failure detector with an adaptive timeout: it decides how long a peer
// may send no heartbeat before it is considered failed.
//
// Load pattern: the machines are saturated, and heartbeats due every 95 ms arrive with gaps of
// 200 or 300 ms. With a fixed timeout, each gap is a false positive: the next grantor takes
// over, targets are queried again and records are written, and this work makes the gaps longer.
// A fixed timeout that is safe under load would delay the detection of every real failure by
// as much when there is little load.
//
// The timeout is the configured one or twice the longest recent gap between two heartbeats,
// whichever is longer, up to MaxTimeout. The first long gap of a busy period may be a false
// positive; later ones are not. Gaps longer than MaxTimeout count as real failures and do not
// raise the timeout.
//
// Reasons for the values: the factor is two because the gaps on an overloaded machine vary by
// about that much. Two windows of 15 s keep a gap for 15 to 30 s, which is long enough to span
// bursts of load and short enough that one stall does not slow the takeovers of the next minute.
// MaxTimeout leaves time for a grant to expire within the 1 s in which a key must be served
// again.
package suspicion

import "time"

const (
	// gapFactor is the ratio of the timeout to the longest recent gap.
	gapFactor = 2
	// window is the length of each of the two windows in which gaps are remembered.
	window = 15 * time.Second
	// MaxTimeout limits the timeout that is derived from gaps.
	MaxTimeout = 600 * time.Millisecond
)

// Detector records the heartbeats of one peer. The zero value has received none. It is not safe
// for concurrent use.
type Detector struct {
	lastHeartbeat time.Duration
	seen          bool
	windowStart   time.Duration
	// current and previous are the longest gaps of the current and the previous window.
	current, previous time.Duration
}

// RecordHeartbeat records that a heartbeat arrived.
func (d *Detector) RecordHeartbeat(now time.Duration) {
	d.rotateWindows(now)
	if gap := now - d.lastHeartbeat; d.seen && gap <= MaxTimeout {
		d.current = max(d.current, gap)
	}
	d.lastHeartbeat, d.seen = now, true
}

// rotateWindows starts a new window if the current one has ended.
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

// ExcludePause excludes a pause of this process from the peer's silence, since no heartbeat
// could be received during it.
func (d *Detector) ExcludePause(pause time.Duration) { d.lastHeartbeat += pause }

// Timeout returns how long the peer may be silent. It is at least the configured setting.
func (d *Detector) Timeout(setting time.Duration) time.Duration {
	longest := max(d.current, d.previous)
	return max(setting, min(gapFactor*longest, MaxTimeout))
}

// Alive reports whether the peer has sent a heartbeat within its timeout.
func (d *Detector) Alive(now, setting time.Duration) bool {
	return d.seen && now-d.lastHeartbeat < d.Timeout(setting)
}
