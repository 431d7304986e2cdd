// Package problem defines the error type of the data path.
//
// An error holds the step and the peer at which it arose, and whether the request may have
// run. The latter is a guarantee to callers: RanNo means that no target executed the
// request, so the caller may safely retry it.
package problem

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran reports whether a target executed a request.
type Ran string

const (
	// RanYes is sent with a complete answer of the target.
	RanYes Ran = "yes"
	// RanNo guarantees that no target executed the request.
	RanNo Ran = "no"
	// RanUnknown means that a target may have executed the request.
	RanUnknown Ran = "unknown"
)

// Header is the response header that carries Ran.
const Header = "Hq-Ran"

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// Kind is the reason why a request was refused or lost. It is the last part of the
// problem's type URI and must not change between versions.
type Kind string

// The kinds and their status codes. docs/OPERATIONS.md describes how to react to each.
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

// Error reports that a request was refused or its answer lost. Daemons pass it on
// unchanged; the caller receives it as problem+json.
type Error struct {
	Kind Kind `json:"kind"`
	// Step is the processing step that failed, e.g. "admit", "queue", "send".
	Step string `json:"step"`
	// Peer is the process or target at which the error arose.
	Peer string `json:"peer,omitempty"`
	Ran  Ran    `json:"ran"`
	// Detail explains this occurrence in one sentence.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the delay after which a retry may succeed. 0 means that a
	// retry does not help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// Error implements error.
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

// Refuse returns an error for a request that certainly did not run.
func Refuse(kind Kind, step, peer, detail string) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Ran: RanNo, Detail: detail}
}

// Lost returns an error for a request that may have run.
func Lost(kind Kind, step, peer, detail string) *Error {
	return &Error{Kind: kind, Step: step, Peer: peer, Ran: RanUnknown, Detail: detail}
}

// AsLost returns the error as that of a request that may have run: its status promises nothing, and its caller is not asked to come
// back.
func (e *Error) AsLost() *Error {
	kind := AnswerLost
	if e.Kind == Deadline {
		kind = Deadline
	}
	return Lost(kind, e.Step, e.Peer, e.Detail)
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// As returns err as an *Error. An error of another type becomes AnswerLost with RanUnknown,
// because it is not known whether the request ran.
func As(err error, step, peer string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lost(AnswerLost, step, peer, err.Error())
}
