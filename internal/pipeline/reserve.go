package pipeline

// reserveLocked makes sure that memory is reserved for the next request. If there is none, the request is refused, or waits
// for an earlier one. It needs c.mu.
func (c *conn) reserveLocked() bool {
	missing := c.listener.limits.RequestMemory + c.next.headMemory() - c.reserved
	if c.next.chunked || c.next.body > 0 {
		missing += unreadMemory
	}
	switch {
	case missing <= 0:
		return true
	case len(c.order) > 0:
		if !c.listener.occupancy.reserveSpare(missing) {
			c.listener.metrics.waited.Inc(1)
			return false
		}
	case !c.listener.occupancy.reserve(missing):
		c.refuseLocked()
		return false
	}
	c.reserved += missing
	return true
}

// freeBuffer is the part of received that needs no reservation besides that of the connection and its request.
const freeBuffer = 2 * readSize

// reserveBufferLocked adapts the reservation for received to its size. Without memory, what was received is refused. A part of
// a body belongs to a request that runs, whose reservation has room for it. It needs c.mu.
func (c *conn) reserveBufferLocked() {
	want := int64(0)
	if len(c.received) > 0 && c.input == nil {
		want = max(int64(cap(c.received))-freeBuffer, 0)
	}
	if more := want - c.buffered; more > 0 && !c.listener.occupancy.reserve(more) {
		c.rejectLocked(refusal, c.listener.metrics.refused)
		want = 0
	}
	if less := c.buffered - want; less > 0 {
		c.listener.occupancy.release(less)
	}
	c.buffered = want
}

// unreadMemory is the memory in bytes of what the system receives on a connection that is not read, or not as fast as its caller
// sends. Limits.ReceiveBuffer keeps its window from growing with what is read.
const unreadMemory = 64 << 10

// reserveUnreadLocked reserves memory for what arrives while the connection is not read. It returns false if there is none:
// then what has arrived is refused, and the rest is read and ignored. A body of a request that runs is not refused. It needs
// c.mu.
func (c *conn) reserveUnreadLocked() bool {
	if c.unread > 0 || c.input != nil {
		return true
	}
	if !c.listener.occupancy.reserve(unreadMemory) {
		c.rejectLocked(refusal, c.listener.metrics.refused)
		c.reserveBufferLocked()
		return false
	}
	c.unread = unreadMemory
	return true
}
