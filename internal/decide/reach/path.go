// Package reach decides which targets a VM reaches over its own network path.
//
// A target that does not answer one VM may answer all others. A VM that takes its own path for the
// state of the target refuses requests that could be served through another VM, reports crashes
// that did not happen, and moves keys away from owners that are well.
//
// Evidence comes from requests and from dials that no request waits for. An answer or an open
// connection proves that the path works. A failed dial shows that it does not, but not why: whether the
// target is down is only known if other VMs do not reach it either.
package reach

import "time"

const (
	// minProbeDelay and maxProbeDelay bound the delay between two probes of a path, which doubles
	// with each failure.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = 1600 * time.Millisecond
)

// Failure is how a dial failed.
type Failure int

// The failures of a dial.
const (
	// TimedOut: nothing came back.
	TimedOut Failure = iota
	// Refused: the connection was refused or reset. Connections that are open already may still
	// work.
	Refused
)

// Path is what a VM knows of its path to one target. The zero value is a path that works. Times are
// readings of one clock.
type Path struct {
	answeredAt time.Duration
	// lostAt is when the first of the failed dials since the last success began.
	lostAt time.Duration
	// dialsFail reports whether the last dial failed, keptFail whether open connections are
	// presumed not to work either.
	dialsFail, keptFail bool

	failures int
	probeAt  time.Duration
	probing  bool
}

// Usable says which connections a request may use.
type Usable int

// The connections that a request may use.
const (
	// AnyConn: open connections and new ones.
	AnyConn Usable = iota
	// KeptConn: open connections only, as dials fail.
	KeptConn
	// NoConn: none.
	NoConn
)

// Usable returns the connections that a request may use.
func (p *Path) Usable() Usable {
	switch {
	case !p.dialsFail:
		return AnyConn
	case !p.keptFail:
		return KeptConn
	}
	return NoConn
}

// Answered records an answer of the target.
func (p *Path) Answered(now time.Duration) {
	p.answeredAt = max(p.answeredAt, now)
	p.keptFail = false
}

// Opened records that a connection was opened.
func (p *Path) Opened(now time.Duration) { *p = Path{answeredAt: now} }

// DialFailed records a dial that began at the given time and failed. It reports whether dials
// worked before.
func (p *Path) DialFailed(began, now time.Duration, f Failure) (changed bool) {
	changed = !p.dialsFail
	if changed {
		p.dialsFail, p.lostAt = true, began
	}
	if f == TimedOut && p.answeredAt < began {
		p.keptFail = true
	}
	p.probeAt = now + min(minProbeDelay<<min(p.failures, 8), maxProbeDelay)
	p.failures++
	return changed
}

// AnswerLost records that an open connection failed while a request waited for its answer.
func (p *Path) AnswerLost() {
	if p.dialsFail {
		p.keptFail = true
	}
}

// Lost reports whether the last dial failed.
func (p *Path) Lost() bool { return p.dialsFail }

// minFailuresToAbort is the number of failed dials in a row after which requests in flight are presumed
// lost. One dial may fail because a packet was lost.
const minFailuresToAbort = 2

// Silent reports whether neither dials nor open connections work any more, so that the answers to
// requests in flight are presumed lost.
func (p *Path) Silent() bool { return p.Usable() == NoConn && p.failures >= minFailuresToAbort }

// LostFor returns for how long dials have failed, or 0 if the last one succeeded.
func (p *Path) LostFor(now time.Duration) time.Duration {
	if !p.dialsFail {
		return 0
	}
	return now - p.lostAt
}

// SinceAnswer returns the time since the target last answered or accepted a connection, and
// whether it ever did.
func (p *Path) SinceAnswer(now time.Duration) (time.Duration, bool) {
	return now - p.answeredAt, p.answeredAt > 0
}

// BeginProbe reports whether the path is due to be probed by a dial, and counts the probe as begun
// if so. One probe of a path is in flight at a time.
func (p *Path) BeginProbe(now time.Duration) bool {
	if !p.dialsFail || p.probing || now < p.probeAt {
		return false
	}
	p.probing = true
	return true
}

// BeginCheck is BeginProbe for a path that is not known to be lost.
func (p *Path) BeginCheck() bool {
	if p.dialsFail || p.probing {
		return false
	}
	p.probing = true
	return true
}

// EndProbe records that a probe has ended. Its result is recorded by Opened or DialFailed.
func (p *Path) EndProbe() { p.probing = false }
