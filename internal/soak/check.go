package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The promises.
const (
	OneOwner     = "ONE OWNER"
	AtMostOnce   = "AT MOST ONCE"
	IntactAnswer = "WHOLE"
	// AnswerDuringShutdown: a VM that stops answers what it passed on, and breaks nothing off that it took
	// in the second half of its grace.
	AnswerDuringShutdown = "ANSWERED"
	// NoUnexpectedExit: a process ends only when it gets a signal to.
	NoUnexpectedExit = "STAYS UP"
)

// keys is the number of keys of a service.
const keys = 1 << 16

// Violation is a promise that was not kept.
type Violation struct {
	// At is when it was seen, from the start of traffic.
	At        time.Duration
	Guarantee string
	// Subject is the key, request or VM.
	Subject string
	Detail  string
}

// String renders the break for people.
func (b Violation) String() string {
	return fmt.Sprintf("%s broken at %.3f s: %s: %s", b.Guarantee, b.At.Seconds(), b.Subject, b.Detail)
}

// Checker holds what targets and callers see against the promises. It is safe for
// concurrent use, and is a fleet.Watcher.
type Checker struct {
	now func() time.Time

	mu         sync.Mutex
	start      time.Time
	holders    map[string]*heldKeys
	requests   map[string]*request
	violations []Violation
	// recorded are promises and subjects of the breaks: renewals repeat the first one.
	recorded map[[2]string]bool
	stats    Stats
}

// Stats are how much was checked.
type Stats struct {
	// Grants were taken by targets; Moves are those of keys that another target had.
	Grants, Moves int
	// Sent is all requests; each is one of the next four.
	Sent, Answered, Refused, Failed, Lost int
	// RefusedAfterRun are refusals of requests of an idempotent route that had run.
	RefusedAfterRun int
}

// heldKeys is what a target has of each key.
type heldKeys struct {
	until [keys]time.Time
	fence [keys]uint64
}

// request is what became of a request.
type request struct {
	// nonIdempotent: it must not run twice.
	nonIdempotent bool
	runs          []string
	// abandoned are the targets that still ran it when its sender closed the connection.
	abandoned []string
	// refused is the status of a refusal, or 0.
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

// Violated records that a promise was not kept, once for each subject.
func (c *Checker) Violated(promise, subject, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(promise, subject, format, args...)
}

// violated needs c.mu.
func (c *Checker) violated(promise, subject, format string, args ...any) {
	if c.recorded[[2]string{promise, subject}] {
		return
	}
	c.recorded[[2]string{promise, subject}] = true
	c.violations = append(c.violations, Violation{c.now().Sub(c.start), promise, subject, fmt.Sprintf(format, args...)})
}

// Violations returns what was broken so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Stats returns how much was checked so far.
func (c *Checker) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Granted implements fleet.Watcher.
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

// checkGrant looks for keys of a grant that another target holds, or had with a fence that
// is not lower, and reports whether the keys come from that target. It needs c.mu.
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

// Released implements fleet.Watcher.
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

// RequestSent says that a request is sent; once that its route is not idempotent.
func (c *Checker) RequestSent(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Sent++
	c.requests[id] = &request{nonIdempotent: once}
}

// Ran implements fleet.Watcher.
func (c *Checker) Ran(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.violated(AtMostOnce, "request "+id, "runs at %s, and nobody sent it", target)
		return
	}
	r.runs = append(r.runs, target)
	switch {
	case r.nonIdempotent && len(r.runs) > 1:
		c.violated(AtMostOnce, "request "+id, "ran at %v", r.runs)
	case r.nonIdempotent && r.refused > 0:
		c.violated(AtMostOnce, "request "+id, "runs at %s, and was answered %d", target, r.refused)
	}
}

// Abandoned implements fleet.Watcher.
func (c *Checker) Abandoned(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.abandoned = append(r.abandoned, target)
	}
}

// ConnectionClosed says that the connection of a request to a VM that stops ended without an answer.
func (c *Checker) ConnectionClosed(id, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runs := c.requests[id].runs; len(runs) > 0 {
		c.violated(AnswerDuringShutdown, "request "+id, "ran at %v, and %s, which stops, closed its connection", runs, vm)
	}
}

// RequestAborted says that a VM that stops answered that a request, sent so long after its SIGTERM,
// may have run.
func (c *Checker) RequestAborted(id, vm string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if targets := c.requests[id].abandoned; len(targets) > 0 {
		c.violated(AnswerDuringShutdown, "request "+id, "sent %v after SIGTERM, and %s gave it up while %v ran it", after.Round(time.Millisecond), vm, targets)
	}
}

// RequestRefused says that a request was answered 429 or 503.
func (c *Checker) RequestRefused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Refused++
	r := c.requests[id]
	r.refused = status
	switch {
	case len(r.runs) == 0:
	case r.nonIdempotent:
		c.violated(AtMostOnce, "request "+id, "answered %d, and ran at %v", status, r.runs)
	default:
		c.stats.RefusedAfterRun++
	}
}

// RequestAnswered says that a request was answered 2xx, and what its target has sent.
func (c *Checker) RequestAnswered(id, body, sent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Answered++
	if body != sent {
		c.violated(IntactAnswer, "request "+id, "%d bytes %.40q, and its target sent %d bytes %.40q", len(body), body, len(sent), sent)
	}
}

// RequestFailed says that a request was answered otherwise.
func (c *Checker) RequestFailed() { c.count(&c.stats.Failed) }

// RequestLost says that a request was not answered.
func (c *Checker) RequestLost() { c.count(&c.stats.Lost) }

func (c *Checker) count(figure *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*figure++
}
