package dispatch

import (
	"time"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// Admission is the decision of Quarantine on a request that is about to be sent.
type Admission int

// The admissions.
const (
	// AdmitRun means that the request may be sent now.
	AdmitRun Admission = iota
	// AdmitHold means that the request must wait; Admit is called again for it at a
	// later event of its queue.
	AdmitHold
	// AdmitRefuse means that the request is refused with the returned problem.
	AdmitRefuse
)

// Quarantine detects requests that crash the targets that run them, and keeps them from
// being sent.
//
// All queues of a dispatcher share one, and each calls it from its own goroutine, so it
// must be safe for concurrent use and must not block. For every request that is sent
// there is one call of Started, and then one of Finished or, if the target died while it
// ran the request, one of Died that lists it.
type Quarantine interface {
	// Admit decides whether the request may be sent to the target, which has a free
	// slot.
	Admit(target string, r *wire.Request, now time.Time) (Admission, *problem.Error)
	// Started reports that an attempt was sent to the target.
	Started(target string, r *wire.Request, now time.Time)
	// Finished reports that an attempt ended and the target is still up. answered
	// reports whether the request was answered.
	Finished(target string, r *wire.Request, answered bool, now time.Time)
	// Died reports that the target ended while it ran the given requests: a
	// connection broke, and the target cannot be reached or is in another
	// incarnation. There is no call of Finished for these requests.
	Died(target string, running []*wire.Request, now time.Time)
}
