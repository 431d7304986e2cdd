package dispatch

import (
	"time"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// Admission is what Suspects decides about a request that is about to be sent.
type Admission int

// The admissions.
const (
	// AdmitRun lets it be sent now.
	AdmitRun Admission = iota
	// AdmitHold keeps it waiting; it is asked about again at the next event of
	// its queue.
	AdmitHold
	// AdmitRefuse ends it with the problem that comes along.
	AdmitRefuse
)

// Quarantine watches for requests that crash the targets that run them.
//
// All queues of a dispatcher share one; each calls it from its own goroutine, so
// it must be safe for concurrent use and must not block. For every request that
// Admit lets run there is one Started, and then one Finished or, if the target
// died under it, one Died that lists it.
type Quarantine interface {
	// Admit decides on a request that a free slot of the target waits for.
	Admit(target string, r *wire.Request, now time.Time) (Admission, *problem.Error)
	// Started says that an attempt is in flight to the target.
	Started(target string, r *wire.Request, now time.Time)
	// Finished says that an attempt ended and the target lives; answered, that
	// the request ran to its end.
	Finished(target string, r *wire.Request, answered bool, now time.Time)
	// Died says that the target ended with these requests running on it: a
	// connection broke, and the target cannot be reached or is in another
	// incarnation. Requests that it lists get no Finished.
	Died(target string, running []*wire.Request, now time.Time)
}
