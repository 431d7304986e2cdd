// Package leaving decides which requests a VM that was asked to stop still takes.
//
// Callers go on sending on kept connections. A request that is still at work when the process ends gets
// no response; one that is refused at once, as not run, is served by another VM.
//
// Two rules. What surely ends in time is taken to the last moment: its caller waits no
// longer, or its route's timeout ends it before the process does. What may take longer is
// taken only while the balancer has not noticed yet, and not if such requests are known to
// take too long. In that time all of the VM's usual share comes, on new connections, too, and
// refusing it would turn away thousands for the few that take long. Afterwards only the odd
// request on a kept connection comes. Nothing is refused by a guess: a VM that has just
// started knows no times yet.
//
// A VM with little time left takes requests that may outlast it for half of that time.
//
// A request that may have run already cannot be refused as not run. Sending it again is worth
// it only where the second answer is likely to arrive before the VM ends; otherwise its caller
// gets what is known of the first.
package leaving

import "time"

const (
	// balancerDelay is how long after the VM was asked to stop new connections still come.
	balancerDelay = 2500 * time.Millisecond
	// tailFactor times the mean is what nearly all requests take at most.
	tailFactor = 3
	// AnswerDelivery is the time from a target's answer to its last byte at the caller: a VM
	// with a part of a core may wait a tenth of a second for its turn.
	AnswerDelivery = 100 * time.Millisecond
)

// Request is what is known of a request that is about to be sent to a target.
type Request struct {
	// MaxDuration is after how long it ends in any case: its caller waits no longer, or the
	// timeout of its route is over.
	MaxDuration time.Duration
	// Expected is the mean of what such requests take at that target, what waits there
	// included; 0 where it is not known.
	Expected time.Duration
}

// Accepts reports whether a VM that was asked to stop so long ago, and gives up in left what
// still runs then, takes the request.
func Accepts(r Request, since, left time.Duration) bool {
	left -= AnswerDelivery
	if r.MaxDuration <= left {
		return true
	}
	return since < min(balancerDelay, left) && r.Expected <= left/tailFactor
}

// AllowsRepeat reports whether a VM that was asked to stop, and gives up in left what still runs
// then, sends a request again that may have run. Where nothing is known of such requests,
// half of the longest that it may take is assumed.
func AllowsRepeat(r Request, left time.Duration) bool {
	likely := tailFactor * r.Expected
	if r.Expected == 0 {
		likely = r.MaxDuration / 2
	}
	return min(likely, r.MaxDuration) <= left-AnswerDelivery
}
