package pipeline

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a caller's connection.
//
// Only run reads raw, and only the lane of the oldest unanswered request writes to it. What is read belongs to input until its
// request is complete, and then goes through received, from which only dispatchLocked takes it.
type conn struct {
	listener *Listener
	raw      net.Conn

	// idleEntry is the connection's entry in the list of idle ones, since idleSince. They are guarded by occupancy.mu.
	idleEntry *list.Element
	idleSince time.Time

	mu sync.Mutex
	// changed is signalled whenever a lane or the reader may continue.
	changed sync.Cond
	// received holds the bytes that are not assigned to a lane.
	received []byte
	// skippable is the number of CR and LF that are ignored before the next request.
	skippable int
	// order holds the lanes with an unanswered request, in the order of the requests.
	order []*lane
	// input is the lane whose request has not been received completely.
	input *lane
	// exclusive reports whether the only request in order must be answered before the next one runs.
	exclusive bool
	// reserved reports whether memory is reserved for the next request, idle whether the connection waits for one.
	reserved, idle bool
	// partialSince is when the first byte of an incomplete head arrived while no request was unanswered.
	partialSince time.Time
	// sealed reports whether no further request runs. The connection ends when order is empty then.
	sealed bool
	// draining reports whether the connection ends and what arrives is ignored, drained whether nothing more is written.
	draining, drained bool
	// readErr is the error with which reading raw ended.
	readErr error
	closed  bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{listener: l, raw: raw, idle: true}
	c.changed.L = &c.mu
	return c
}

// run reads the connection until it ends.
func (c *conn) run() {
	r := newReader(c.raw)
	for {
		size := c.awaitRoom()
		if size == 0 {
			return
		}
		data, err := r.read(size)
		started, ended := c.receive(data, err)
		r.release()
		c.start(started)
		if ended {
			return
		}
	}
}

// awaitRoom waits until more may be received. It returns the size of the next read, or 0 if the connection has ended.
func (c *conn) awaitRoom() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && !c.draining && len(c.received) >= c.readLimitLocked() {
		c.changed.Wait()
	}
	switch {
	case c.closed:
		return 0
	case c.input != nil:
		return bodyReadSize
	}
	return readSize
}

// readLimitLocked returns the number of bytes that may be received and not assigned. Without spare memory, only a head for
// which nothing else has to be answered first may be longer than a read. It needs c.mu.
func (c *conn) readLimitLocked() int {
	limit := c.listener.limits.ReadAhead
	if len(c.order) > 0 && !c.listener.occupancy.hasSpare() {
		return min(limit, readSize)
	}
	return limit
}

// receive records the result of a read. It returns the lanes that the server does not serve yet, and whether nothing
// further is to be read.
func (c *conn) receive(data []byte, err error) (started []*lane, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		// The connection was closed as an idle one while these bytes arrived. They do not run.
		return nil, true
	}
	if len(data) > 0 && !c.draining {
		if c.input != nil && len(c.received) == 0 {
			data = data[c.feedLocked(data):]
		}
		c.received = append(c.received, data...)
		c.becomeBusyLocked()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.headExpiredLocked() {
			c.closeLocked()
		}
		err = nil
	}
	started = c.dispatchLocked()
	if err != nil {
		c.readErr, c.sealed = err, true
	}
	c.settleLocked()
	c.changed.Broadcast()
	return started, c.closed || c.readErr != nil
}

// becomeBusyLocked reserves memory for the request that begins, or refuses it. It needs c.mu.
func (c *conn) becomeBusyLocked() {
	if !c.idle {
		return
	}
	c.idle = false
	c.listener.occupancy.setBusy(c)
	if len(c.order) > 0 {
		// A lane has the rest of the connection.
		return
	}
	if c.reserved = c.listener.occupancy.reserve(); !c.reserved {
		c.refuseLocked()
	}
}

// dispatchLocked assigns what was received to lanes. It returns the lanes that the server does not serve yet. It needs
// c.mu.
func (c *conn) dispatchLocked() (started []*lane) {
	for len(c.received) > 0 {
		if c.input != nil {
			n := c.feedLocked(c.received)
			if c.received = c.received[n:]; n == 0 {
				return started
			}
			continue
		}
		if c.sealed || c.skipLocked() {
			return started
		}
		f := parseFrame(c.received)
		if f.class == partial && len(c.received) >= c.listener.limits.ReadAhead {
			f.class = opaque
		}
		if f.class == partial {
			c.limitHeadLocked()
			return started
		}
		if c.exclusive || len(c.order) > 0 && !c.mayRunBesideLocked(f) || !c.reserveLocked() {
			return started
		}
		started = append(started, c.assignLocked(f))
	}
	return started
}

// skipLocked ignores line breaks after the body of a request, as package net/http does. It reports whether nothing is
// left. It needs c.mu.
func (c *conn) skipLocked() bool {
	for c.skippable > 0 && len(c.received) > 0 && (c.received[0] == '\r' || c.received[0] == '\n') {
		c.received = c.received[1:]
		c.skippable--
	}
	return len(c.received) == 0
}

// mayRunBesideLocked reports whether a request may run beside the unanswered ones. It needs c.mu.
func (c *conn) mayRunBesideLocked(f frame) bool {
	if f.class != concurrent {
		return false
	}
	if len(c.order) >= c.listener.limits.Requests || c.listener.closed() {
		c.listener.metrics.waited.Inc(1)
		return false
	}
	return true
}

// reserveLocked makes sure that memory is reserved for the next request. If there is none, the request is refused, or waits
// for an earlier one. It needs c.mu.
func (c *conn) reserveLocked() bool {
	switch {
	case c.reserved:
	case len(c.order) > 0:
		if c.reserved = c.listener.occupancy.reserveSpare(); !c.reserved {
			c.listener.metrics.waited.Inc(1)
		}
	default:
		if c.reserved = c.listener.occupancy.reserve(); !c.reserved {
			c.refuseLocked()
		}
	}
	return c.reserved
}

// assignLocked gives the next request to a new lane. It needs c.mu.
func (c *conn) assignLocked(f frame) *lane {
	l := &lane{conn: c, opaque: f.class == opaque, body: f.bodyReader()}
	l.response.method = f.method
	l.in, c.received = c.received[:f.head:f.head], c.received[f.head:]
	c.reserved, l.reserved = false, true
	switch {
	case len(c.order) > 0:
		c.listener.metrics.concurrent.Inc(1)
	case f.class == opaque:
		c.listener.metrics.opaque.Inc(1)
	}
	c.order = append(c.order, l)
	c.exclusive = f.class != concurrent
	c.sealed = c.sealed || f.last || c.listener.closed()
	if !l.body.done() {
		c.input = l
	}
	c.skippable = 0
	if f.method == "POST" {
		c.skippable = maxSkipped
	}
	c.partialSince = time.Time{}
	c.changed.Broadcast()
	return l
}

// maxSkipped is the number of line breaks that are ignored after the body of a POST.
const maxSkipped = 4

// feedLocked passes bytes to the lane whose request is incomplete. It returns how many belong to that request and have room
// there. It needs c.mu.
func (c *conn) feedLocked(data []byte) int {
	l := c.input
	n := l.body.consume(data[:min(max(laneBuffer-len(l.in), 0), len(data))])
	if n == 0 {
		return 0
	}
	l.resting = false
	l.buffer = append(append(l.buffer[:0], l.in...), data[:n]...)
	l.in = l.buffer
	if l.body.done() {
		c.input = nil
	}
	if l.body.kind == endlessBody && !l.opaque {
		// Package net/http decides where a malformed body ends.
		c.listener.metrics.opaque.Inc(1)
		l.opaque = true
	}
	c.changed.Broadcast()
	return n
}

// limitHeadLocked ends the connection if an incomplete head takes too long. It needs c.mu.
func (c *conn) limitHeadLocked() {
	if len(c.order) > 0 || !c.partialSince.IsZero() || c.listener.limits.HeaderTimeout <= 0 {
		return
	}
	c.partialSince = time.Now()
	_ = c.raw.SetReadDeadline(c.partialSince.Add(c.listener.limits.HeaderTimeout))
}

// headExpiredLocked reports whether an incomplete head has taken too long. Otherwise it resets the deadline of reads, which
// is that of an earlier head. It needs c.mu.
func (c *conn) headExpiredLocked() bool {
	if !c.partialSince.IsZero() && time.Since(c.partialSince) >= c.listener.limits.HeaderTimeout {
		return true
	}
	deadline := time.Time{}
	if !c.partialSince.IsZero() {
		deadline = c.partialSince.Add(c.listener.limits.HeaderTimeout)
	}
	_ = c.raw.SetReadDeadline(deadline)
	return false
}

// start passes new lanes to the server.
func (c *conn) start(lanes []*lane) {
	for _, l := range lanes {
		if !c.listener.serve(l) {
			// The server closed its listener after the request was assigned. It has not run.
			_ = l.Close()
		}
	}
}
