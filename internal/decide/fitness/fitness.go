// Package fitness decides whether a grantor is too slow or too cut off to go on.
//
// A VM that gets a fraction of its processor time renews late, takes its own delays for silence of
// targets, and moves their keys. It shows in its own steps, which come late.
//
// Or it shows in its orders: with a sixth of the processor its steps come in time,
// while hundreds of grants wait for their turn, keys on the move for seconds.
//
// Or in what it receives: most owners leave its orders unanswered. More likely this VM is
// cut off than that half of the targets are gone.
package fitness

import "time"

const (
	// meanSteps is how many steps the mean reaches over, a third of a second at
	// the usual pace.
	meanSteps = 16
	// maxLag is the mean delay of a step from which a VM is too slow: renewals
	// of a few hundred ranges then take longer than their period.
	maxLag = 60 * time.Millisecond
	// maxGrantWait is the mean wait of grants from which a VM is too slow: two thirds
	// of their period. It is below 30 ms at the usual pace, and 230 ms for the
	// first round of a new grantor.
	maxGrantWait = 400 * time.Millisecond
	// gracePeriod is how long a grantor is not judged by its grants' waits.
	// Where no VM can renew all ranges in time, grantors must not resign in turn.
	gracePeriod = 10 * time.Second
	// minSilentOwners is how many owners must be silent before a grantor blames itself: two
	// may be gone at once.
	minSilentOwners = 3
)

// Meter finds out that a grantor's VM is too slow. It belongs to one goroutine.
type Meter struct {
	// step is the usual time between two steps.
	step      time.Duration
	last, lag time.Duration
	started   bool
	// began is when the meter began, grantWait the mean wait of the grants that were
	// done.
	began, grantWait time.Duration
}

// NewMeter returns a meter of a grantor that takes a step each so often.
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

// RecordGrant records how long a grant waited for its turn. Those that were not done
// wait for a target that does not answer, which says nothing of this VM.
func (m *Meter) RecordGrant(waited time.Duration) { m.grantWait += (waited - m.grantWait) / meanSteps }

// Lag returns the mean delay of the steps.
func (m *Meter) Lag() time.Duration { return m.lag }

// GrantWait returns the mean wait of the grants that were done.
func (m *Meter) GrantWait() time.Duration { return m.grantWait }

// Isolated reports whether so many owners leave orders unanswered that the fault is
// this VM's: it is cut off, or slow beyond its own timeouts.
// All orders of a slow grantor may time out at once while every target is well.
func Isolated(silent, owners int) bool { return silent >= minSilentOwners && 2*silent >= owners }
