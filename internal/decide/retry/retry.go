// Package retry decides whether a request whose attempt failed is sent again, refused, or
// answered as unknown.
//
// Load pattern: a third of all attempts fail, or every target of a pool sheds load. Without a
// retry budget, each request is tried several times, and the targets get a multiple of their
// load when their capacity is lowest and do not recover. Without a rule on which requests may be
// repeated, a booking whose answer was lost is made twice.
//
// A request that certainly did not run may be sent again; one that may have run only if it is
// idempotent. A repeat that can cost a target work takes a token; each new request adds 0.09 of
// a token. A request is not repeated if the remaining time is shorter than its service time.
//
// Reasons for the values: 0.09 tokens per request and a bucket of 10 limit the extra load to a
// tenth whatever fails (with 0.1 and the same bucket, the load was 1.102 times the normal load
// over 9 s), and still repair nearly all failures if one in ten targets fails. 10 tokens repair
// the loss of a target with 3 slots under little traffic too. Refusals that cost the target
// nothing (no connection, leaving, not the owner of the key) take no token: the target is not
// chosen again afterwards, so they cannot repeat endlessly. The limit of 8 attempts applies to
// them as well.
package retry

import "time"

// Outcome is the way in which an attempt ended without an answer.
type Outcome int

const (
	// Shed means that the target had no free slot and did not run the request.
	Shed Outcome = iota
	// Unsent means that no byte of the request reached the target.
	Unsent
	// NotServing means that the target is shutting down or does not own the key, and did not run
	// the request.
	NotServing
	// Lost means that the answer was lost; the request may have run.
	Lost
	// Abandoned means that the deadline passed or the caller disconnected; the request may have
	// run.
	Abandoned
)

// mayHaveRun reports whether the request may have run.
func (o Outcome) mayHaveRun() bool { return o == Lost || o == Abandoned }

// Verdict is the decision on a failed request.
type Verdict int

const (
	// Repeat means to send the request again.
	Repeat Verdict = iota
	// Refuse means to answer that the request was not run.
	Refuse
	// AnswerUnknown means to answer that the request may have run.
	AnswerUnknown
)

const (
	tokensPerRequest = 0.09
	maxTokens        = 10
	maxAttempts      = 8
)

// Budget is the token bucket for repeats of one queue. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// AddRequest counts a request that is sent for the first time.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+tokensPerRequest, maxTokens) }

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	// Attempts is how often the request was sent, including this attempt.
	Attempts int
	// Remaining is the time to the deadline, ServiceTime the expected service time.
	Remaining, ServiceTime time.Duration
	// MayHaveRun reports whether an earlier attempt may have run.
	MayHaveRun bool
}

// Decide returns the verdict, and takes a token if a repeat costs one. All attempts count: the
// last one may not have run while an earlier one has.
func (b *Budget) Decide(a Attempt) Verdict {
	mayHaveRun := a.MayHaveRun || a.Outcome.mayHaveRun()
	if b.takeRepeat(a, mayHaveRun) {
		return Repeat
	}
	if mayHaveRun {
		return AnswerUnknown
	}
	return Refuse
}

// takeRepeat reports whether the request may be sent again, and takes a token if that costs one.
func (b *Budget) takeRepeat(a Attempt, mayHaveRun bool) bool {
	switch {
	case mayHaveRun && !a.Idempotent, a.Outcome == Abandoned:
		return false
	case a.Attempts >= maxAttempts, a.Remaining < a.ServiceTime:
		return false
	case a.Outcome == Unsent || a.Outcome == NotServing:
		return true
	case b.tokens < 1:
		return false
	}
	b.tokens--
	return true
}
