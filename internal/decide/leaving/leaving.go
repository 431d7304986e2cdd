// Package leaving decides which requests a VM that was told to stop still takes.
//
// Failure: a VM is told to stop, and callers go on sending on the connections that they
// keep. It passes on what comes, and its process ends while a target still works on some of
// it: these callers get no answer, and cannot report whether a booking was made. A request that
// is refused at once, as not run, is served by another VM a moment later.
//
// Two rules. What surely ends in time is taken to the last moment: its caller waits no
// longer, or its route's timeout ends it before the process does. What may take longer is
// taken only while the balancer has not noticed yet, and not if such requests are known to
// take too long. In that time all of the VM's usual share comes, on new connections, too, and
// refusing it would turn away thousands for the few that take long. Afterwards only the odd
// request on a kept connection comes. Nothing is refused by a guess: a VM that has just
// started knows no times yet.
//
// Grounds: three times the mean is exceeded by one in twenty where service times are
// exponential, and by fewer where they vary less. The balancer looks once a second and takes
// a VM out after two misses; half a second is for callers whose connection was made just
// before. A VM that must be gone sooner takes such requests for half of its time.
package leaving

import "time"

const (
	// notice is how long after the VM was told to stop new connections still come.
	notice = 2500 * time.Millisecond
	// nearlyAll times the mean is what nearly all requests take at most.
	nearlyAll = 3
	// answering is the time from a target's answer to its last byte at the caller: a VM
	// with a part of a core may wait a tenth of a second for its turn.
	answering = 100 * time.Millisecond
)

// Request is what is known of a request that is about to be sent to a target.
type Request struct {
	// Most is after how long it ends in any case: its caller waits no longer, or the
	// timeout of its route is over.
	Most time.Duration
	// Expected is the mean of what such requests take at that target, what waits there
	// included; 0 where it is not known.
	Expected time.Duration
}

// Takes reports whether a VM that was told to stop so long ago, and gives up in left what
// still runs then, takes the request.
func Takes(r Request, since, left time.Duration) bool {
	left -= answering
	if r.Most <= left {
		return true
	}
	return since < min(notice, left) && r.Expected <= left/nearlyAll
}
