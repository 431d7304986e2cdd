// Package signals holds what a target says of itself in a response, whatever the response answers: a request, an
// inquiry, an order or a request of another VM. A signal that a response carries and one path ignores is lost for
// all VMs, so every response is decoded into one value, and one function of the gateway applies it.
package signals

import (
	"time"

	"hemlockquay/internal/decide/loadreport"
)

// Signals is what one response says of its target. The zero value says nothing.
type Signals struct {
	// Sender is the ID of the target that responded, or "" if the response does not name it.
	Sender string
	// Leaving reports whether the target says that its process will end. That holds until it does.
	Leaving bool
	// Rest is for how long the target wants no requests from this VM. It is 0 if the target does not ask for that.
	Rest time.Duration
	// Limited reports whether the target states that it takes PerSecond requests per second from all VMs together.
	Limited   bool
	PerSecond float64
	// LoadReported reports whether the response reports the target's load, with its current slowness.
	LoadReported bool
	Load         loadreport.Report
	// WarmupLeft is for how long the target stays cold, or 0.
	WarmupLeft time.Duration
	// LeavingErr, RestErr, LimitErr and LoadErr say why a signal is present but could not be read. It then says nothing.
	LeavingErr, RestErr, LimitErr, LoadErr error
}

// Errs returns the errors of the signals that could not be read.
func (s *Signals) Errs() []error {
	var out []error
	for _, err := range []error{s.LeavingErr, s.RestErr, s.LimitErr, s.LoadErr} {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}
