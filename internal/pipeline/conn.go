package pipeline

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// readSize is the size in bytes of one read from a connection.
const readSize = 4096

// past is a deadline that ends a blocked read.
var past = time.Unix(1, 0)

// conn is a caller's connection and its lanes.
//
// Only the primary lane reads raw, and only the lane of the oldest unanswered request writes to it.
type conn struct {
	listener *Listener
	raw      net.Conn
	primary  *lane
	// buffer is the memory for one read of raw. It belongs to the reader.
	buffer []byte

	mu sync.Mutex
	// changed is signalled whenever a lane may continue.
	changed *sync.Cond
	// received holds the bytes that are not assigned to a lane. bodyLeft is the number of following bytes that belong to
	// the body of the primary lane's request.
	received []byte
	bodyLeft int64
	// partialSince is when the first byte of an incomplete head arrived while no request was unanswered.
	partialSince time.Time
	// order holds the lanes with an unanswered request, in the order of the requests.
	order []*lane
	// exclusive reports whether the only request in order must be answered before the next one runs.
	exclusive bool
	// idle holds the other lanes without a request.
	idle []*lane
	// opaque reports whether the primary lane serves all that follows by itself.
	opaque bool
	// sealed reports whether no further request runs. closeAfter reports whether the connection ends when order is empty.
	sealed, closeAfter bool
	// reading reports whether the primary lane is blocked in a read of raw, interrupted whether this read was ended to
	// make it look for a request.
	reading, interrupted bool
	// readErr is the error with which raw ended.
	readErr error
	closed  bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{listener: l, raw: raw, buffer: make([]byte, readSize)}
	c.changed = sync.NewCond(&c.mu)
	c.primary = &lane{conn: c}
	return c
}

// read reads for the primary lane.
func (c *conn) read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		started := c.dispatchLocked()
		n, err, wait := c.takeLocked(p)
		if wait {
			c.changed.Wait()
		}
		into := c.readBufferLocked(p)
		c.reading = n == 0 && err == nil && !wait
		reading := c.reading
		c.mu.Unlock()
		c.start(started)
		if n > 0 || err != nil {
			return n, err
		}
		if !reading {
			continue
		}
		n, err = c.raw.Read(into)
		if n, err = c.recordRead(into, n, err); n > 0 || err != nil {
			return n, err
		}
	}
}

// takeLocked returns what the primary lane can read without raw, or its error. wait reports whether it has to wait for
// another lane. It needs c.mu.
func (c *conn) takeLocked(p []byte) (n int, err error, wait bool) {
	l := c.primary
	switch n = copy(p, l.in); {
	case n > 0:
		l.in = l.in[n:]
		return n, nil, false
	case c.closed || l.dropped:
		return 0, net.ErrClosed, false
	case c.readErr != nil:
		return 0, c.readErr, false
	case !c.opaque && c.bodyLeft == 0 && len(c.received) >= c.listener.limits.ReadAhead:
		if l.readExpired() {
			return 0, os.ErrDeadlineExceeded, false
		}
		return 0, nil, true
	}
	return 0, nil, false
}

// readBufferLocked returns where to read bytes of raw to: to p if they belong to the primary lane. It needs c.mu.
func (c *conn) readBufferLocked(p []byte) []byte {
	switch {
	case c.opaque:
		return p
	case c.bodyLeft > 0:
		return p[:min(int64(len(p)), c.bodyLeft)]
	}
	return c.buffer
}

// recordRead records the result of a read of raw. It returns what belongs to the primary lane.
func (c *conn) recordRead(into []byte, n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !timedOut {
		c.readErr = err
		c.changed.Broadcast()
	}
	if c.interrupted {
		c.interrupted = false
		_ = c.raw.SetReadDeadline(c.primary.readDeadline)
		if timedOut {
			err = nil
		}
	}
	switch {
	case c.opaque:
		return n, err
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
		return n, err
	}
	c.received = append(c.received, into[:n]...)
	if n > 0 {
		return 0, nil
	}
	return 0, err
}

// dispatchLocked assigns the requests that may run now to lanes. It returns the lanes that the server does not serve yet.
// It needs c.mu.
func (c *conn) dispatchLocked() (started []*lane) {
	for !c.opaque && !c.sealed && c.bodyLeft == 0 && len(c.received) > 0 {
		f := parseFrame(c.received)
		if f.class == partial && len(c.received) >= c.listener.limits.ReadAhead {
			f.class = opaque
		}
		alone := len(c.order) == 0 && c.primary.free()
		switch {
		case f.class == partial:
			c.limitHeadLocked(alone)
			return started
		case c.exclusive, f.class != concurrent && !alone:
			return started
		case f.class == opaque:
			c.listener.metrics.opaque.Inc(1)
			c.opaque, c.primary.in, c.received = true, c.received, nil
		case f.class == exclusive:
			c.exclusive = true
			body := min(f.body, int64(len(c.received)-f.head))
			c.bodyLeft = f.body - body
			c.assignLocked(c.primary, f.head+int(body))
		default:
			l, isNew := c.freeLaneLocked()
			if l == nil {
				return started
			}
			if isNew {
				started = append(started, l)
			}
			c.assignLocked(l, f.head)
		}
		c.partialSince = time.Time{}
	}
	return started
}

// limitHeadLocked ends the connection if an incomplete head takes too long. While the server waits for a request it does
// not see the bytes of an incomplete one. It needs c.mu.
func (c *conn) limitHeadLocked(alone bool) {
	if !alone || !c.partialSince.IsZero() || c.listener.limits.HeaderTimeout <= 0 {
		return
	}
	c.partialSince = time.Now()
	c.primary.readDeadline = c.partialSince.Add(c.listener.limits.HeaderTimeout)
	_ = c.raw.SetReadDeadline(c.primary.readDeadline)
}

// freeLaneLocked returns a lane for a request, or nil if as many run as may. It needs c.mu.
func (c *conn) freeLaneLocked() (l *lane, isNew bool) {
	switch {
	case c.primary.free():
		l = c.primary
	case len(c.order) >= c.listener.limits.Requests || c.listener.closed():
		c.listener.metrics.waited.Inc(1)
		return nil, false
	case len(c.idle) > 0:
		l, c.idle = c.idle[len(c.idle)-1], c.idle[:len(c.idle)-1]
	default:
		l, isNew = &lane{conn: c}, true
	}
	if len(c.order) > 0 {
		c.listener.metrics.concurrent.Inc(1)
	}
	return l, isNew
}

// assignLocked gives the first size received bytes, a request, to a lane. It needs c.mu.
func (c *conn) assignLocked(l *lane, size int) {
	l.in = slices.Clone(c.received[:size])
	l.wroteHead, l.handled, l.closeHidden = false, false, false
	if c.received = c.received[size:]; len(c.received) == 0 {
		c.received = nil
	}
	c.order = append(c.order, l)
	c.changed.Broadcast()
}

// start passes new lanes to the server.
func (c *conn) start(lanes []*lane) {
	for _, l := range lanes {
		if !c.listener.serve(l) {
			// The server closed its listener after the request was assigned. It has not run.
			c.abandon(l)
		}
	}
}

// finish records that the response on a lane is complete and the lane can take another request.
func (c *conn) finish(l *lane) {
	c.mu.Lock()
	c.removeLocked(l)
	if l != c.primary && !l.dropped {
		c.idle = append(c.idle, l)
	}
	started := c.advanceLocked()
	c.mu.Unlock()
	c.start(started)
}

// removeLocked takes a lane out of order. It needs c.mu.
func (c *conn) removeLocked(l *lane) {
	if i := slices.Index(c.order, l); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
	if len(c.order) == 0 {
		c.exclusive = false
	}
}

// advanceLocked continues after a change of order. It needs c.mu.
func (c *conn) advanceLocked() []*lane {
	if c.closeAfter && len(c.order) == 0 {
		c.closeLocked()
		return nil
	}
	started := c.dispatchLocked()
	if c.reading && len(c.primary.in) > 0 && !c.interrupted {
		// The primary lane waits for bytes of the connection, but its next request was received already.
		c.interrupted = true
		_ = c.raw.SetReadDeadline(past)
	}
	c.changed.Broadcast()
	return started
}

// closeLocked closes the connection and all its lanes. It needs c.mu.
func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	if len(c.received) > 0 {
		c.listener.metrics.unread.Inc(1)
	}
	_ = c.raw.Close()
	c.changed.Broadcast()
}

// abandon ends the connection behind the last request before that of a lane. Its request gets no response, nor do those
// behind it.
func (c *conn) abandon(l *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonLocked(l)
}

func (c *conn) abandonLocked(l *lane) {
	c.sealed, c.closeAfter = true, true
	if i := slices.Index(c.order, l); i >= 0 {
		for _, behind := range c.order[i:] {
			behind.dropped = true
		}
		c.order = c.order[:i]
	}
	if len(c.order) == 0 {
		c.closeLocked()
	}
	c.changed.Broadcast()
}

// closeLane is called when the server closes a lane.
func (c *conn) closeLane(l *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.dropped = true
	i := slices.Index(c.order, l)
	switch {
	case c.opaque:
		c.closeLocked()
	case i == 0 && l.closeHidden && l.handled:
		c.removeLocked(l)
		c.advanceLocked()
	case i >= 0 || l == c.primary:
		c.abandonLocked(l)
	default:
		c.idle = slices.DeleteFunc(c.idle, func(other *lane) bool { return other == l })
	}
}
