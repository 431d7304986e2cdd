// Package fitness detects that a grantor's VM is too slow, or too isolated, to continue
// as grantor.
//
// On a VM that gets a fraction of its CPU time, the grantor renews grants late, mistakes
// its own delays for targets that do not answer, and moves their keys. There are three
// signs of it:
//
//   - Its steps are late.
//   - Its grants wait. With a sixth of the CPU, steps may be in time while hundreds of
//     grants are queued, and moves of keys take seconds.
//   - Most owners do not answer its orders. It is more likely that this VM is isolated
//     than that half of the targets are gone.
package fitness

import "time"

const (
	// meanSteps is the number of steps, or grants, over which the means are taken. At
	// the usual rate the steps cover a third of a second.
	meanSteps = 16
	// maxLag is the mean delay of a step above which a VM is too slow: renewing a few
	// hundred ranges then takes longer than the renewal period.
	maxLag = 60 * time.Millisecond
	// maxGrantWait is the mean wait of grants above which a VM is too slow: two thirds
	// of the renewal period. The wait is usually below 30 ms, and 230 ms in the first
	// round of a new grantor.
	maxGrantWait = 400 * time.Millisecond
	// gracePeriod is how long the wait of a new grantor's grants is ignored. If no VM
	// can renew all ranges in time, grantors must not resign one after the other.
	gracePeriod = 10 * time.Second
	// minSilentOwners is how many owners must leave orders unanswered before a grantor
	// counts as isolated; two may be lost at the same time.
	minSilentOwners = 3
)

// Meter detects that a grantor's VM is too slow. It is not safe for concurrent use.
type Meter struct {
	// step is the usual time between steps.
	step      time.Duration
	last, lag time.Duration
	started   bool
	// began is the time of the first step, grantWait the mean wait of completed grants.
	began, grantWait time.Duration
}

// NewMeter returns a meter for a grantor that usually takes a step at this interval.
func NewMeter(step time.Duration) *Meter { return &Meter{step: step} }

// RecordStep records a step and reports whether the VM is too slow.
func (m *Meter) RecordStep(now time.Duration) bool {
	if !m.started {
		m.started, m.last, m.began = true, now, now
		return false
	}
	late := max(now-m.last-m.step, 0)
	m.last = now
	m.lag += (late - m.lag) / meanSteps
	return m.lag > maxLag || m.grantWait > maxGrantWait && now-m.began > gracePeriod
}

// RecordGrant records how long a completed grant waited for its turn. Incomplete grants
// wait for a target that does not answer, which does not indicate a slow VM.
func (m *Meter) RecordGrant(waited time.Duration) { m.grantWait += (waited - m.grantWait) / meanSteps }

// Lag returns the mean delay of steps.
func (m *Meter) Lag() time.Duration { return m.lag }

// GrantWait returns the mean wait of completed grants.
func (m *Meter) GrantWait() time.Duration { return m.grantWait }

// Isolated reports whether so many owners leave orders unanswered that the cause must be
// this VM: it is isolated, or so slow that its own timeouts expire. All orders of a slow
// grantor may time out at once while every target is healthy.
func Isolated(silent, owners int) bool { return silent >= minSilentOwners && 2*silent >= owners }
