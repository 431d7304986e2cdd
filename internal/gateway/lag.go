package gateway

import "time"

// lagMeter finds out that this VM is too slow to be a grantor.
//
// Load pattern: a VM gets a sixth of its processor time for some seconds. As the
// grantor it renews late, takes its own delays for silence of targets, and gives
// their keys to others, one after the other. It shows in its own steps, which come
// far later than they should.
//
// Or it shows in its orders: with a sixth of the processor its steps come in time,
// while hundreds of grants wait for their turn, keys on the move for seconds.
type lagMeter struct {
	last, mean time.Duration
	started    bool
	// began is when the meter began, waited the mean wait of the grants that were
	// done.
	began, waited time.Duration
}

const (
	// lagSteps is how many steps the mean reaches over, a third of a second at
	// the usual pace.
	lagSteps = 16
	// lagMost is the mean delay of a step from which a VM is too slow: renewals
	// of a few hundred ranges then take longer than their period.
	lagMost = 60 * time.Millisecond
	// waitMost is the mean wait of grants from which a VM is too slow: two thirds
	// of their period. It is below 30 ms at the usual pace, and 230 ms for the
	// first round of a new grantor.
	waitMost = 400 * time.Millisecond
	// strayedSilence is for how long an owner has left orders unanswered when it counts
	// as silent: two orders in a row ran into their timeouts.
	//
	// Failure: targets leave a half of their orders unanswered. At each moment most
	// owners had one, and the grantors resigned in turn, each after half a second;
	// nothing was renewed meanwhile, and no key had an owner for ten seconds.
	strayedSilence = 2 * grantTimeout
	// settled is how long a grantor is not judged by its grants' waits.
	//
	// Failure: a service has more ranges than any VM can renew in time. The grantors
	// resigned in turn, each after a second or two, and its keys had no service for
	// most of the time.
	settled = 10 * time.Second
	// unfitTime is how long a VM that resigned is the last in line.
	unfitTime = 8 * time.Second
)

// strayed tells whether so many owners leave orders unanswered that the fault is
// this VM's: it is cut off, or slow beyond its own timeouts.
//
// Failure: all orders of a slow grantor timed out at the same moment. It gave the
// keys of every target to others, waited for holds to run out, and no key was
// served for seconds, while every target was well.
func strayed(silent, owners int) bool { return silent >= 3 && 2*silent >= owners }

// note takes in a step and tells whether the VM is too slow.
func (m *lagMeter) note(now time.Duration) bool {
	if !m.started {
		m.started, m.last, m.began = true, now, now
		return false
	}
	late := max(now-m.last-leadStep, 0)
	m.last = now
	m.mean += (late - m.mean) / lagSteps
	return m.mean > lagMost || m.waited > waitMost && now-m.began > settled
}

// granted takes in how long a grant waited for its turn. Those that were not done
// wait for a target that does not answer, which says nothing of this VM.
func (m *lagMeter) granted(waited time.Duration) { m.waited += (waited - m.waited) / lagSteps }
