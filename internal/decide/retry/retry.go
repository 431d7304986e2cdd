// Package retry decides what becomes of a request whose attempt failed.
//
// Load pattern: a third of all attempts fail, or every target of a pool sheds.
// Without a budget each request is tried several times, the targets get a multiple
// of the load just when they can do least, and do not recover. And without a rule
// on what may be repeated, a booking whose answer was lost is made twice.
//
// A request that certainly did not run may be sent again; one that may have run
// only if it is idempotent. A repeat that can cost a target work takes a token;
// each fresh request brings 0.09 of one. No repeat is begun that does not fit
// into the deadline.
//
// Grounds: 0.09 and the reserve bound the extra load to a tenth whatever fails (0.1
// and the reserve gave 1.102 over 9 s), and still repair nearly all failures of one in
// ten targets. The bucket holds 10 tokens, so that the loss
// of a target with 3 slots is repaired also when there is little traffic. Refusals
// that cost the target nothing (no connection, leaving, not the owner) take no
// token: the target is passed over afterwards, so they cannot repeat endlessly;
// 8 attempts bound them all the same.
package retry

import "time"

// Outcome is how an attempt ended without an answer.
type Outcome int

// The outcomes.
const (
	// Shed: the target had no room; it did not run.
	Shed Outcome = iota
	// Unsent: no byte reached the target.
	Unsent
	// NotServing: the target leaves or does not own the key; it did not run.
	NotServing
	// Lost: the request may have run.
	Lost
	// Abandoned: the deadline passed or the caller went away; it may have run.
	Abandoned
)

// mayHaveRun reports whether the request may have run.
func (o Outcome) mayHaveRun() bool { return o == Lost || o == Abandoned }

// Verdict is what to do.
type Verdict int

// The verdicts.
const (
	// Repeat: send it again.
	Repeat Verdict = iota
	// Refuse: answer that it was not run.
	Refuse
	// AnswerUnknown: answer that it may have run.
	AnswerUnknown
)

const (
	tokensPerRequest = 0.09
	maxTokens        = 10
	maxAttempts      = 8
)

// Budget is the account of repeats of one queue. It is not safe for concurrent
// use.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// AddRequest notes a request that is sent for the first time.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+tokensPerRequest, maxTokens) }

// Attempt describes the failed attempt.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	// Attempts is how often the request was sent, this attempt included.
	Attempts int
	// Remaining is the time to the deadline, ServiceTime the expected service time.
	Remaining, ServiceTime time.Duration
	// MayHaveRun says that an earlier attempt may have run.
	MayHaveRun bool
}

// Decide returns the verdict and takes a token where a repeat costs one.
// Ran is carried over all attempts: the last one may not have run while the first has.
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
