package lease

import (
	"time"
)

// contact is how orders to one life of a target fared.
// After some failures in a row one order at a time is sent, at growing intervals: a target that is gone
// must not cost a connection for each of its slices.
type contact struct {
	failures int
	retryAt  time.Duration
	probing  bool
	answered time.Duration
}

// doubtAfter is how many orders in a row must fail before a target is taken for gone.
// With fewer, a target that leaves half of its orders unanswered is renewed too rarely to keep its keys.
const doubtAfter = 4

// retryMost bounds the pause between two orders to a target that does not answer.
const retryMost = 1600 * time.Millisecond

// open reports whether an order may go out now.
func (c *contact) open(now time.Duration) bool {
	return c.failures < doubtAfter || !c.probing && now >= c.retryAt
}

func (c *contact) ended(r Result, sent, over, retry time.Duration) {
	c.probing = false
	if r == Unreached || r == Unanswered {
		c.failures++
		c.retryAt = over + min(retry<<min(max(c.failures-doubtAfter, 0), 8), retryMost)
		return
	}
	c.failures = 0
	c.answered = max(c.answered, sent)
}
