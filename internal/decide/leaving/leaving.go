// Package leaving decides which requests a VM still accepts after it was asked to stop.
//
// Callers continue to send requests on kept connections. A request that still runs when
// the process ends gets no response; one that is refused at once, as not run, is served by
// another VM.
//
// A request that certainly ends in time, because its caller's deadline or its route's
// timeout ends it before the process does, is accepted until the last moment.
//
// A request that may take longer is accepted only while the load balancer has not noticed
// that the VM is leaving, and not if such requests are known to take too long. During that
// time the VM gets its usual share of requests, also on new connections, and refusing all
// of it would turn away thousands of requests because of the few that take long.
// Afterwards only occasional requests on kept connections arrive. No request is refused
// because its usual time is unknown: a VM that has just started has no measurements yet.
//
// If little time is left, requests that may take longer are accepted during the first half of
// it only.
//
// A request that may have run already cannot be refused as not run. It is sent again only
// if the second answer is likely to arrive before the VM stops; otherwise its caller gets
// the outcome of the first attempt as far as it is known.
package leaving

import "time"

const (
	// balancerDelay is how long after the VM was asked to stop new connections still arrive.
	balancerDelay = 2500 * time.Millisecond
	// tailFactor is the multiple of the mean that nearly all requests take at most.
	tailFactor = 3
	// AnswerDelivery is the time from a target's answer to the arrival of its last byte at
	// the caller. A VM with a fraction of a core may wait a tenth of a second to be
	// scheduled.
	AnswerDelivery = 100 * time.Millisecond
)

// Request describes a request that is about to be sent to a target.
type Request struct {
	// MaxDuration is the time after which the request ends in any case, by its caller's
	// deadline or by the timeout of its route.
	MaxDuration time.Duration
	// Expected is the mean time that such requests take at that target, queueing
	// included; 0 if unknown.
	Expected time.Duration
}

// Accepts reports whether a VM accepts the request. since is the time since it was asked to
// stop, left the time until it aborts the requests that still run.
func Accepts(r Request, since, left time.Duration) bool {
	left -= AnswerDelivery
	if r.MaxDuration <= left {
		return true
	}
	return since < min(balancerDelay, left) && r.Expected <= left/tailFactor
}

// AllowsRepeat reports whether a VM that was asked to stop, and aborts running requests after
// left, sends a request again that may have run already. If the expected time is unknown, half
// of the request's MaxDuration is assumed.
func AllowsRepeat(r Request, left time.Duration) bool {
	likely := tailFactor * r.Expected
	if r.Expected == 0 {
		likely = r.MaxDuration / 2
	}
	return min(likely, r.MaxDuration) <= left-AnswerDelivery
}
