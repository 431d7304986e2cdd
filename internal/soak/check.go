package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The promises.
const (
	OneOwner   = "ONE OWNER"
	AtMostOnce = "AT MOST ONCE"
	Whole      = "WHOLE"
	// Answered: a VM that stops answers what it passed on, and breaks nothing off that it took
	// in the second half of its grace.
	Answered = "ANSWERED"
	// StaysUp: a process ends only when it gets a signal to.
	StaysUp = "STAYS UP"
)

// keys is the number of keys of a service.
const keys = 1 << 16

// Break is a promise that was not kept.
type Break struct {
	// At is when it was seen, from the start of traffic.
	At      time.Duration
	Promise string
	// Subject is the key, request or VM.
	Subject string
	What    string
}

// String renders the break for people.
func (b Break) String() string {
	return fmt.Sprintf("%s broken at %.3f s: %s: %s", b.Promise, b.At.Seconds(), b.Subject, b.What)
}

// Checker holds what targets and callers see against the promises. It is safe for
// concurrent use, and is a fleet.Observer.
type Checker struct {
	now func() time.Time

	mu       sync.Mutex
	begin    time.Time
	holders  map[string]*holder
	requests map[string]*request
	breaks   []Break
	// seen are promises and subjects of the breaks: renewals repeat the first one.
	seen    map[[2]string]bool
	figures Figures
}

// Figures are how much was checked.
type Figures struct {
	// Grants were taken by targets; Moves are those of keys that another target had.
	Grants, Moves int
	// Asked is all requests; each is one of the next four.
	Asked, Answered, Refused, Failed, Lost int
	// RefusedAfterRun are refusals of requests of an idempotent route that had run.
	RefusedAfterRun int
}

// holder is what a target has of each key.
type holder struct {
	until [keys]time.Time
	fence [keys]uint64
}

// request is what became of a request.
type request struct {
	// once: it must not run twice.
	once bool
	runs []string
	// abandoned are the targets that still ran it when its sender closed the connection.
	abandoned []string
	// refused is the status of a refusal, or 0.
	refused int
}

// NewChecker returns a checker that reads the time from a clock.
func NewChecker(now func() time.Time) *Checker {
	return &Checker{
		now: now, begin: now(),
		holders: make(map[string]*holder), requests: make(map[string]*request), seen: make(map[[2]string]bool),
	}
}

// Begin marks the start of traffic.
func (c *Checker) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin = c.now()
}

// Broken records that a promise was not kept, once for each subject.
func (c *Checker) Broken(promise, subject, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(promise, subject, format, args...)
}

// broken needs c.mu.
func (c *Checker) broken(promise, subject, format string, args ...any) {
	if c.seen[[2]string{promise, subject}] {
		return
	}
	c.seen[[2]string{promise, subject}] = true
	c.breaks = append(c.breaks, Break{c.now().Sub(c.begin), promise, subject, fmt.Sprintf(format, args...)})
}

// Breaks returns what was broken so far.
func (c *Checker) Breaks() []Break {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.breaks)
}

// Figures returns how much was checked so far.
func (c *Checker) Figures() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures
}

// Granted implements fleet.Observer.
func (c *Checker) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	moved := false
	for name, other := range c.holders {
		if name != target {
			moved = c.compare(name, other, target, from, to, fence, now) || moved
		}
	}
	c.figures.Grants++
	if moved {
		c.figures.Moves++
	}
	own := c.holders[target]
	if own == nil {
		own = new(holder)
		c.holders[target] = own
	}
	for key := int(from); key <= int(to); key++ {
		own.until[key], own.fence[key] = until, fence
	}
}

// compare looks for keys of a grant that another target holds, or had with a fence that
// is not lower, and reports whether the keys come from that target. It needs c.mu.
func (c *Checker) compare(name string, other *holder, target string, from, to uint16, fence uint64, now time.Time) bool {
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
		c.broken(OneOwner, fmt.Sprintf("key %d", held), "%s takes keys %d to %d with fence %d while %s holds the key for %v more, with fence %d",
			target, from, to, fence, name, other.until[held].Sub(now).Round(time.Millisecond), other.fence[held])
	}
	if late >= 0 && late != held {
		c.broken(OneOwner, fmt.Sprintf("key %d", late), "%s takes keys %d to %d with fence %d, and %s has had the key with fence %d",
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

// Asked says that a request is sent; once that its route is not idempotent.
func (c *Checker) Asked(id string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Asked++
	c.requests[id] = &request{once: once}
}

// Ran implements fleet.Observer.
func (c *Checker) Ran(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.broken(AtMostOnce, "request "+id, "runs at %s, and nobody sent it", target)
		return
	}
	r.runs = append(r.runs, target)
	switch {
	case r.once && len(r.runs) > 1:
		c.broken(AtMostOnce, "request "+id, "ran at %v", r.runs)
	case r.once && r.refused > 0:
		c.broken(AtMostOnce, "request "+id, "runs at %s, and was answered %d", target, r.refused)
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

// Cut says that the connection of a request to a VM that stops ended without an answer.
func (c *Checker) Cut(id, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runs := c.requests[id].runs; len(runs) > 0 {
		c.broken(Answered, "request "+id, "ran at %v, and %s, which stops, closed its connection", runs, vm)
	}
}

// GivenUp says that a VM that stops answered that a request, sent so long after its SIGTERM,
// may have run.
func (c *Checker) GivenUp(id, vm string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if targets := c.requests[id].abandoned; len(targets) > 0 {
		c.broken(Answered, "request "+id, "sent %v after SIGTERM, and %s gave it up while %v ran it", after.Round(time.Millisecond), vm, targets)
	}
}

// Refused says that a request was answered 429 or 503.
func (c *Checker) Refused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Refused++
	r := c.requests[id]
	r.refused = status
	switch {
	case len(r.runs) == 0:
	case r.once:
		c.broken(AtMostOnce, "request "+id, "answered %d, and ran at %v", status, r.runs)
	default:
		c.figures.RefusedAfterRun++
	}
}

// Answered says that a request was answered 2xx, and what its target has sent.
func (c *Checker) Answered(id, body, sent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Answered++
	if body != sent {
		c.broken(Whole, "request "+id, "%d bytes %.40q, and its target sent %d bytes %.40q", len(body), body, len(sent), sent)
	}
}

// Failed says that a request was answered otherwise.
func (c *Checker) Failed() { c.count(&c.figures.Failed) }

// Lost says that a request was not answered.
func (c *Checker) Lost() { c.count(&c.figures.Lost) }

func (c *Checker) count(figure *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*figure++
}
