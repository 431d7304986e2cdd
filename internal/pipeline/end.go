package pipeline

import (
	"slices"
	"time"

	"hemlockquay/internal/socket"
)

// finish records that the server has sent the response on a lane and would take another request there.
func (c *conn) finish(l *lane) {
	c.mu.Lock()
	started := c.endLocked(l)
	c.mu.Unlock()
	c.start(started)
}

// closeLane records that the server closes a lane. It affects the connection only if the request of the lane is not
// answered.
func (c *conn) closeLane(l *lane) {
	c.mu.Lock()
	c.releaseLocked(l)
	started := c.endLocked(l)
	c.mu.Unlock()
	c.start(started)
}

// endLocked ends a lane. Without a complete response the connection ends behind the responses before it. It needs c.mu.
func (c *conn) endLocked(l *lane) []*lane {
	if l.ended {
		return nil
	}
	if !l.response.complete() {
		c.dropLocked(l)
		return nil
	}
	l.ended = true
	c.releaseLocked(l)
	if len(l.in) > 0 || !l.body.done() {
		// The server does not read the rest of the request, so what follows cannot be framed.
		c.sealed = true
	}
	if c.input == l {
		c.input = nil
	}
	if i := slices.Index(c.order, l); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.exclusive = false
	started := c.dispatchLocked()
	c.reserveBufferLocked()
	c.settleLocked()
	c.changed.Broadcast()
	return started
}

// dropLocked ends the connection behind the last request before that of a lane. Its request gets no response, nor do those
// behind it. It needs c.mu.
func (c *conn) dropLocked(l *lane) {
	i := slices.Index(c.order, l)
	if i < 0 {
		return
	}
	for _, behind := range c.order[i:] {
		behind.ended = true
	}
	c.order = c.order[:i]
	// A response behind this one would be taken for its own.
	c.sealed, c.rejection, c.input = true, nil, nil
	c.settleLocked()
	c.changed.Broadcast()
}

// releaseLocked returns the memory of a lane. It needs c.mu.
func (c *conn) releaseLocked(l *lane) {
	c.listener.occupancy.release(l.reserved)
	l.reserved = 0
}

// idleLocked reports whether no part of a request is received or unanswered. It needs c.mu.
func (c *conn) idleLocked() bool {
	return !c.closed && !c.draining && len(c.received) == 0 && len(c.order) == 0
}

// settleLocked closes the connection if it is sealed and all its requests are answered, and records whether it is idle. It
// needs c.mu.
func (c *conn) settleLocked() {
	if c.sealed && !c.closed && len(c.order) == 0 {
		c.endConnLocked()
	}
	if c.idle || !c.idleLocked() {
		return
	}
	c.idle = true
	c.releaseReservedLocked()
	c.listener.occupancy.setIdle(c)
}

// endConnLocked ends the connection after its last response. It needs c.mu.
func (c *conn) endConnLocked() {
	switch {
	case c.draining:
		if c.drained && c.readErr != nil {
			c.closeLocked()
		}
	case c.rejection != nil && c.readErr == nil:
		c.drainLocked(c.rejection)
	case c.readErr == nil && (c.discarding || len(c.received) > 0 || socket.Peek(c.raw) == socket.Readable):
		c.drainLocked(nil)
	default:
		c.closeLocked()
	}
}

// closeIfIdle closes the connection if it has no request and none waits to be read, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleLocked() || socket.Peek(c.raw) == socket.Readable {
		return false
	}
	c.closeLocked()
	return true
}

// shutDown ends the connection behind the requests that run.
func (c *conn) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	if c.idleLocked() {
		c.closeLocked()
	}
	c.settleLocked()
	c.changed.Broadcast()
}

// closeLocked closes the connection and all its lanes. It needs c.mu.
func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed, c.sealed = true, true
	if len(c.received) > 0 && c.input == nil {
		c.listener.metrics.unread.Inc(1)
	}
	c.received, c.arrivals = nil, nil
	_ = c.raw.Close()
	c.releaseReservedLocked()
	c.listener.occupancy.remove(c)
	c.changed.Broadcast()
}

// releaseReservedLocked returns the memory of the connection besides that of its requests that run. It needs c.mu.
func (c *conn) releaseReservedLocked() {
	c.listener.occupancy.release(c.reserved + c.buffered + c.unread)
	c.reserved, c.buffered, c.unread = 0, 0, 0
}

const (
	// lingerTimeout is how long the caller may take to read the last response.
	lingerTimeout = 500 * time.Millisecond
	// maxDrained is the number of bytes that are read and ignored meanwhile.
	maxDrained = 256 << 10
)

// Responses to requests that have not run. Each ends its connection.
var (
	// refusal is sent to a request for which there is no memory.
	refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25" + lastEmptyResponse)
	// badRequest is sent to a request that cannot be framed with certainty, notImplemented if that is for a coding other than
	// chunked, and headTooLarge to one whose head is over the limit.
	badRequest     = []byte("HTTP/1.1 400 Bad Request" + lastEmptyResponse)
	notImplemented = []byte("HTTP/1.1 501 Not Implemented" + lastEmptyResponse)
	headTooLarge   = []byte("HTTP/1.1 431 Request Header Fields Too Large" + lastEmptyResponse)
)

const lastEmptyResponse = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseLocked ends the connection with a refusal. It needs c.mu.
func (c *conn) refuseLocked() {
	c.listener.metrics.refused.Inc(1)
	c.drainLocked(refusal)
}

// drainLocked writes the last bytes and ends the connection when the caller has closed it, or after lingerTimeout. If it
// were closed while bytes of the caller are unread, these would reset it before the caller has read the response. It needs
// c.mu.
func (c *conn) drainLocked(last []byte) {
	if len(c.received) > 0 && last == nil {
		c.listener.metrics.unread.Inc(1)
	}
	c.draining, c.sealed, c.received, c.arrivals, c.drainLeft = true, true, nil, nil, maxDrained
	// Without memory for what still arrives, the connection is closed at once.
	linger := c.unread > 0 || c.listener.occupancy.reserve(unreadMemory)
	if linger {
		c.unread = unreadMemory
	}
	go func() {
		_ = c.raw.SetWriteDeadline(time.Now().Add(lingerTimeout))
		if _, err := c.raw.Write(last); err == nil {
			if w, ok := c.raw.(interface{ CloseWrite() error }); ok {
				_ = w.CloseWrite()
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drained = true
		if !linger {
			c.closeLocked()
		}
		c.settleLocked()
	}()
	time.AfterFunc(lingerTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeLocked()
	})
	c.changed.Broadcast()
}
