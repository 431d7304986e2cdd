package lease

import (
	"time"
)

// circuitBreaker is how orders to one life of a target fared.
// After some failures in a row one order at a time is sent, at growing intervals: a target that is gone
// must not cost a connection for each of its slices.
type circuitBreaker struct {
	failures     int
	retryAt      time.Duration
	probing      bool
	lastAnswered time.Duration
}

// failureThreshold is how many orders in a row must fail before a target is taken for gone.
// With fewer, a target that leaves half of its orders unanswered is renewed too rarely to keep its keys.
const failureThreshold = 4

// maxRetryDelay bounds the pause between two orders to a target that does not answer.
const maxRetryDelay = 1600 * time.Millisecond

// allows reports whether an order may go out now.
func (c *circuitBreaker) allows(now time.Duration) bool {
	return c.failures < failureThreshold || !c.probing && now >= c.retryAt
}

func (c *circuitBreaker) record(r Result, sentAt, endedAt, retry time.Duration) {
	c.probing = false
	if r == Unreached || r == Unanswered {
		c.failures++
		c.retryAt = endedAt + min(retry<<min(max(c.failures-failureThreshold, 0), 8), maxRetryDelay)
		return
	}
	c.failures = 0
	c.lastAnswered = max(c.lastAnswered, sentAt)
}
