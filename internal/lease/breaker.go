package lease

import (
	"time"
)

// circuitBreaker tracks the results of the orders to one incarnation of a target. After
// failureThreshold failures in a row it allows one order at a time, at growing intervals: a target that
// is gone must not cost a connection for each of its slices.
type circuitBreaker struct {
	// failures counts the failed orders since the last success.
	failures int
	// retryAt is when the next probe may be sent, probing whether one is in flight.
	retryAt time.Duration
	probing bool
	// lastAnswered is when the last order that was answered was sent.
	lastAnswered time.Duration
}

// failureThreshold is how many orders in a row must fail before a target is considered gone. With a
// lower value, a target that leaves half of its orders unanswered is renewed too rarely to keep its keys.
const failureThreshold = 4

// maxRetryDelay bounds the time between two orders to a target that does not answer.
const maxRetryDelay = 1600 * time.Millisecond

// allows reports whether an order may be sent now.
func (c *circuitBreaker) allows(now time.Duration) bool {
	return c.failures < failureThreshold || !c.probing && now >= c.retryAt
}

// record updates the breaker with the result of an order.
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
