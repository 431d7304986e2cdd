package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The guarantees that a run checks.
const (
	OneOwner     = "ONE OWNER"
	AtMostOnce   = "AT MOST ONCE"
	IntactAnswer = "WHOLE"
	// AnswerDuringShutdown: a VM that shuts down answers the requests that it forwarded, and aborts
	// none that it accepted in the second half of its grace period.
	AnswerDuringShutdown = "ANSWERED"
	// NoUnexpectedExit: a process exits only after a signal that ends it.
	NoUnexpectedExit = "STAYS UP"
)

// keys is the number of keys of a service.
const keys = 1 << 16

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	// At is when the violation was observed, from the start of traffic.
	At        time.Duration
	Guarantee string
	// Subject is the key, request or VM concerned.
	Subject string
	Detail  string
}

// String renders the violation as a line of the verdict.
func (b Violation) String() string {
	return fmt.Sprintf("%s broken at %.3f s: %s: %s", b.Guarantee, b.At.Seconds(), b.Subject, b.Detail)
}

// Checker checks what targets and callers observe against the guarantees. It is safe for concurrent use
// and implements fleet.Observer.
type Checker struct {
	now func() time.Time

	mu         sync.Mutex
	start      time.Time
	holders    map[string]*heldKeys
	requests   map[string]*request
	violations []Violation
	// recorded holds the guarantee and subject of each violation, since renewals of a grant repeat
	// the first one.
	recorded map[[2]string]bool
	stats    Stats
	// evacuation is guarded by mu.
	evacuation evacuationWatch
}

// Stats counts what was checked.
type Stats struct {
	// Grants counts the grants accepted by targets, Moves those with keys that another target had
	// held before.
	Grants, Moves int
	// Sent counts all requests; each also counts as one of the next four once it has ended.
	Sent, Answered, Refused, Failed, Lost int
	// RefusedAfterRun counts refusals of requests to an idempotent route that had run.
	RefusedAfterRun int
}

// heldKeys is the end of the hold and the latest fence of each key at one target.
type heldKeys struct {
	until [keys]time.Time
	fence [keys]uint64
}

// request is what is known of a request.
type request struct {
	sentAt time.Time
	// nonIdempotent requests must not run more than once.
	nonIdempotent bool
	runs          []string
	// abandoned lists the targets that were running the request when its sender closed the
	// connection.
	abandoned []string
	// refused is the status code of a refusal, or 0.
	refused int
}

// NewChecker returns a checker that reads the time from a clock.
func NewChecker(now func() time.Time) *Checker {
	return &Checker{
		now: now, start: now(),
		holders: make(map[string]*heldKeys), requests: make(map[string]*request), recorded: make(map[[2]string]bool),
	}
}

// StartTraffic marks the start of traffic.
func (c *Checker) StartTraffic() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = c.now()
}

// Violated records a violation, once per guarantee and subject.
func (c *Checker) Violated(guarantee, subject, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(guarantee, subject, format, args...)
}

// violated is Violated for callers that hold c.mu.
func (c *Checker) violated(guarantee, subject, format string, args ...any) {
	if c.recorded[[2]string{guarantee, subject}] {
		return
	}
	c.recorded[[2]string{guarantee, subject}] = true
	c.violations = append(c.violations, Violation{c.now().Sub(c.start), guarantee, subject, fmt.Sprintf(format, args...)})
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Stats returns the counts so far.
func (c *Checker) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Granted implements fleet.Observer.
func (c *Checker) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	moved := false
	for name, other := range c.holders {
		if name != target {
			moved = c.checkGrant(name, other, target, from, to, fence, now) || moved
		}
	}
	c.stats.Grants++
	if moved {
		c.stats.Moves++
	}
	own := c.holders[target]
	if own == nil {
		own = new(heldKeys)
		c.holders[target] = own
	}
	for key := int(from); key <= int(to); key++ {
		own.until[key], own.fence[key] = until, fence
	}
}

// checkGrant records a violation if the other target still holds keys of the grant, or has held them with
// a fence that is not lower. It reports whether the other target has held any of the keys. The caller
// must hold c.mu.
func (c *Checker) checkGrant(name string, other *heldKeys, target string, from, to uint16, fence uint64, now time.Time) bool {
	held, late, moved := -1, -1, false
	for key := int(to); key >= int(from); key-- {
		if now.Before(other.until[key]) {
			held = key
		}
		if other.fence[key] >= fence {
			late = key
		}
		moved = moved || other.fence[key] > 0
	}
	if held >= 0 {
		c.violated(OneOwner, fmt.Sprintf("key %d", held), "%s takes keys %d to %d with fence %d while %s holds the key for %v more, with fence %d",
			target, from, to, fence, name, other.until[held].Sub(now).Round(time.Millisecond), other.fence[held])
	}
	if late >= 0 && late != held {
		c.violated(OneOwner, fmt.Sprintf("key %d", late), "%s takes keys %d to %d with fence %d, and %s has had the key with fence %d",
			target, from, to, fence, name, other.fence[late])
	}
	return moved
}

// Released implements fleet.Observer.
func (c *Checker) Released(target string, from, to uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.holders[target]
	if own == nil {
		return
	}
	for key := int(from); key <= int(to); key++ {
		own.until[key] = time.Time{}
	}
}

// SentAt returns when a caller sent a request.
func (c *Checker) SentAt(id string) (at time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.sentAt.IsZero() {
		return time.Time{}, false
	}
	return r.sentAt, true
}

// AllHeld reports whether every key has an owner.
func (c *Checker) AllHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for key := range keys {
		held := false
		for _, h := range c.holders {
			held = held || now.Before(h.until[key])
		}
		if !held {
			return false
		}
	}
	return true
}

// RequestSent records that a request is sent; once is set for a non-idempotent route.
func (c *Checker) RequestSent(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Sent++
	c.requests[id] = &request{sentAt: c.now(), nonIdempotent: once}
}

// Ran implements fleet.Observer.
func (c *Checker) Ran(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.violated(AtMostOnce, "request "+id, "runs at %s, but was never sent", target)
		return
	}
	r.runs = append(r.runs, target)
	c.checkEvacuated(target, "request "+id)
	switch {
	case r.nonIdempotent && len(r.runs) > 1:
		c.violated(AtMostOnce, "request "+id, "ran at %v", r.runs)
	case r.nonIdempotent && r.refused > 0:
		c.violated(AtMostOnce, "request "+id, "runs at %s after it was answered %d", target, r.refused)
	}
}

// Abandoned implements fleet.Observer.
func (c *Checker) Abandoned(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.abandoned = append(r.abandoned, target)
	}
}

// ConnectionClosed records that a VM that shuts down closed the connection of a request without an
// answer.
func (c *Checker) ConnectionClosed(id, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runs := c.requests[id].runs; len(runs) > 0 {
		c.violated(AnswerDuringShutdown, "request "+id, "ran at %v, but %s closed its connection without an answer while shutting down", runs, vm)
	}
}

// RequestAborted records that a VM that shuts down answered that a request may have run. after is the
// time from its SIGTERM to the sending of the request.
func (c *Checker) RequestAborted(id, vm string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if targets := c.requests[id].abandoned; len(targets) > 0 {
		c.violated(AnswerDuringShutdown, "request "+id, "sent %v after SIGTERM, and %s aborted it while %v ran it", after.Round(time.Millisecond), vm, targets)
	}
}

// RequestRefused records that a request was answered 429 or 503.
func (c *Checker) RequestRefused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Refused++
	r := c.requests[id]
	r.refused = status
	switch {
	case len(r.runs) == 0:
	case r.nonIdempotent:
		c.violated(AtMostOnce, "request "+id, "answered %d, but ran at %v", status, r.runs)
	default:
		c.stats.RefusedAfterRun++
	}
}

// RequestAnswered records that a request was answered 2xx, with the body received and the body that its
// target sent.
func (c *Checker) RequestAnswered(id, body, sent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Answered++
	if body != sent {
		c.violated(IntactAnswer, "request "+id, "received %d bytes %.40q, but its target sent %d bytes %.40q", len(body), body, len(sent), sent)
	}
}

// RequestFailed records that a request was answered with another status.
func (c *Checker) RequestFailed() { c.count(&c.stats.Failed) }

// RequestLost records that a request got no answer.
func (c *Checker) RequestLost() { c.count(&c.stats.Lost) }

func (c *Checker) count(figure *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*figure++
}
