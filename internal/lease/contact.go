package lease

import (
	"time"
)

// contact is how orders to one life of a target fared.
//
// Load pattern: a target with a hundred slices is gone. To try each of its orders
// again and again opens hundreds of connections a second to nobody. After some
// failures in a row one order at a time goes out, at growing intervals, until one is
// answered.
type contact struct {
	failures int
	retryAt  time.Duration
	probing  bool
	answered time.Duration
}

// doubtAfter is how many orders in a row must fail before a target is taken for gone.
//
// Failure: targets leave a half of their orders unanswered. With one order at a time
// after each failure, of sixteen slices of a target two or three were renewed within
// a hold; all others had no owner.
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
