// Package problem is the one error type of the data path.
//
// An error says at which step and at which peer it arose and whether the
// request may have run. The last is a promise to callers: Ran No means that no
// target executed the request, so the caller may send it again.
package problem

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a request was executed by a target.
type Ran string

const (
	// RanYes goes with a whole answer of the target.
	RanYes Ran = "yes"
	// RanNo promises that no target executed the request.
	RanNo Ran = "no"
	// RanUnknown says that a target may have executed the request.
	RanUnknown Ran = "unknown"
)

// Header is the response header that carries Ran.
const Header = "Hq-Ran"

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// Kind is the reason of a refusal or loss. It is the last part of the problem's
// type URI and stays the same over versions.
type Kind string

// The kinds and their status codes. See docs/OPERATIONS.md for what to do.
const (
	BadRequest      Kind = "bad-request"      // 400
	UnknownToken    Kind = "unknown-token"    // 401
	OutsideContract Kind = "outside-contract" // 403
	UnknownService  Kind = "unknown-service"  // 404
	TooLarge        Kind = "too-large"        // 413
	OverLimit       Kind = "over-limit"       // 429
	AnswerLost      Kind = "answer-lost"      // 502
	Full            Kind = "full"             // 503
	Quarantined     Kind = "quarantined"      // 503
	Leaving         Kind = "leaving"          // 503
	NoOwner         Kind = "no-owner"         // 503
	NotReady        Kind = "not-ready"        // 503
	Deadline        Kind = "deadline"         // 504
)

var statusOf = map[Kind]int{
	BadRequest:      http.StatusBadRequest,
	UnknownToken:    http.StatusUnauthorized,
	OutsideContract: http.StatusForbidden,
	UnknownService:  http.StatusNotFound,
	TooLarge:        http.StatusRequestEntityTooLarge,
	OverLimit:       http.StatusTooManyRequests,
	AnswerLost:      http.StatusBadGateway,
	Full:            http.StatusServiceUnavailable,
	Quarantined:     http.StatusServiceUnavailable,
	Leaving:         http.StatusServiceUnavailable,
	NoOwner:         http.StatusServiceUnavailable,
	NotReady:        http.StatusServiceUnavailable,
	Deadline:        http.StatusGatewayTimeout,
}

// Error is a refusal or a loss. It travels between daemons as it is and ends as
// problem+json at the caller.
type Error struct {
	Kind Kind `json:"kind"`
	// Step is what was being done, e.g. "admit", "queue", "send".
	Step string `json:"step"`
	// Peer is the process or target at which it arose.
	Peer string `json:"peer,omitempty"`
	Ran  Ran    `json:"ran"`
	// Detail explains this occurrence in one sentence.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is when asking again may help; 0 says that it does not.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// Error renders step, peer and reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %s (ran: %s)", e.Step, e.Peer, e.Kind, e.Detail, e.Ran)
}

// Status returns the HTTP status code of the error's kind.
func (e *Error) Status() int {
	if s, ok := statusOf[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Refuse returns an error for a request that was certainly not run.
func Refuse(kind Kind, step, peer, detail string) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Ran: RanNo, Detail: detail}
}

// Lost returns an error for a request that may have run.
func Lost(kind Kind, step, peer, detail string) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Ran: RanUnknown, Detail: detail}
}

// After sets when asking again may help.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// As returns err as an *Error. An error of another type becomes AnswerLost with
// Ran unknown: nothing is promised for a failure that nobody classified.
func As(err error, step, peer string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lost(AnswerLost, step, peer, err.Error())
}
