// Package relay decides what becomes of the answer of a target: whether its caller gets it as it is.
//
// Load pattern: something that a target calls is full or late, and the target, which has run the request, answers 429 or 408. By the
// platform's convention these statuses promise that the request has not run. A caller that gets such an answer sends the request again, and a
// refund is paid twice. The answer of a target makes that promise only if it says so itself.
package relay

import "net/http"

// Convention is how a program tells its callers whether a request has run.
type Convention int

const (
	// ByStatus: the status tells. 408, 421, 429 and 503 promise that the request has not run and never will, as in hq-gateway.
	ByStatus Convention = iota
	// ByHeader: a header tells, and the status promises nothing, as in hq-entry and hq-dispatch.
	ByHeader
)

// Verdict is what becomes of an answer.
type Verdict int

const (
	// PassOn: the caller gets the answer as it is.
	PassOn Verdict = iota
	// NotRun: the target has not run the request. It may be sent to another one, or be refused as not run.
	NotRun
	// Failed: the target has failed. The caller gets the answer as it is unless another target does better.
	Failed
	// Withhold: the caller gets a failure of the program's own, which promises nothing, unless another target does better.
	Withhold
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case PassOn:
		return "passed on"
	case NotRun:
		return "not run"
	case Failed:
		return "failed"
	case Withhold:
		return "withheld"
	}
	return "unknown"
}

// Answer is what is decided on.
type Answer struct {
	Status int
	// SaysNotRun reports whether the answer itself says that the target has not run the request.
	SaysNotRun bool
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
}

// Of returns what becomes of an answer.
func Of(c Convention, a Answer) Verdict {
	switch {
	case a.SaysNotRun:
		return NotRun
	case a.Status < http.StatusOK || a.Status > 599:
		// No final answer.
		return Withhold
	case c == ByHeader:
		return PassOn
	case a.Status >= http.StatusInternalServerError && promisesNotRun(a.Status), !a.Idempotent && promisesNotRun(a.Status):
		return Withhold
	case a.Status >= http.StatusInternalServerError:
		return Failed
	}
	// A caller may send an idempotent request again whatever it is answered.
	return PassOn
}

// promisesNotRun reports whether callers conclude from a status that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
