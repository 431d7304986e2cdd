package pipeline

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
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
	// arrivals are when these bytes arrived.
	arrivals arrivals
	// scanner finds the end of the head at the beginning of received. next is its frame once it is complete.
	scanner headScanner
	next    *frame
	// skippable is the number of CR and LF that are ignored before the next request.
	skippable int
	// order holds the lanes with an unanswered request, in the order of the requests.
	order []*lane
	// input is the lane whose request has not been received completely.
	input *lane
	// exclusive reports whether the only request in order must be answered before the next one runs.
	exclusive bool
	// reserved is the memory in bytes that is reserved for the next request, buffered that for received, and unread that for
	// what arrives while the connection is not read.
	reserved, buffered, unread int64
	// idle reports whether the connection waits for a request.
	idle bool
	// partialSince is when the first byte of an incomplete head arrived.
	partialSince time.Time
	// sealed reports whether no further request runs. The connection ends when order is empty then.
	sealed bool
	// discarding reports whether what arrives is ignored. rejection is then written behind the last response, unless it is
	// nil.
	discarding bool
	rejection  []byte
	// draining reports whether the connection ends and what arrives is ignored, drained whether nothing more is written.
	// drainLeft is the number of bytes that may still arrive meanwhile.
	draining, drained bool
	drainLeft         int
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
		size, held := c.awaitRoom()
		if size == 0 {
			return
		}
		data, err := r.read(size)
		var at time.Duration
		if len(data) > 0 {
			at = c.arrivedAt(held)
		}
		started, ended := c.receive(data, at, err)
		r.release()
		c.start(started)
		if ended {
			return
		}
	}
}

// awaitRoom waits until more may be received. It returns the size of the next read, or 0 if the connection has ended, and
// whether it waited to read a head.
func (c *conn) awaitRoom() (size int, waited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && !c.draining && len(c.received) >= c.readLimitLocked() {
		if !c.reserveUnreadLocked() {
			break
		}
		c.changed.Wait()
		waited = true
	}
	if !c.draining {
		c.listener.occupancy.release(c.unread)
		c.unread = 0
	}
	if waited && !c.partialSince.IsZero() {
		// The caller is not late with what was not read.
		c.partialSince = time.Time{}
		c.limitHeadLocked()
	}
	switch {
	case c.closed:
		return 0, waited
	case c.input != nil:
		// The age of a body does not matter.
		return bodyReadSize, false
	}
	return readSize, waited
}

// readLimitLocked returns the number of bytes that may be received and not assigned. Behind the buffer of a body that is
// not read, it is a read. Without spare memory, only a head for
// which nothing else has to be answered first may be longer than a read. It needs c.mu.
func (c *conn) readLimitLocked() int {
	if c.input != nil {
		return readSize
	}
	limit := max(c.listener.limits.ReadAhead, c.listener.limits.headBytes())
	if len(c.order) > 0 && !c.listener.occupancy.hasSpare() {
		return min(limit, readSize)
	}
	return limit
}

// receive records the result of a read, of bytes that arrived at a time. It returns the lanes that the server does not serve yet, and whether nothing
// further is to be read.
func (c *conn) receive(data []byte, at time.Duration, err error) (started []*lane, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		// The connection was closed as an idle one while these bytes arrived. They do not run.
		return nil, true
	}
	if len(data) > 0 {
		c.takeLocked(data, at)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.headExpiredLocked() {
			c.rejectLocked(nil, c.listener.metrics.tooSlow)
		}
		err = nil
	}
	started = c.dispatchLocked()
	c.reserveBufferLocked()
	if err != nil {
		c.readErr, c.sealed = err, true
	}
	c.settleLocked()
	c.changed.Broadcast()
	return started, c.closed || c.readErr != nil
}

// takeLocked adds what was read to the request that is being received, or to what is not assigned. It needs c.mu.
func (c *conn) takeLocked(data []byte, at time.Duration) {
	if c.draining {
		if c.drainLeft -= len(data); c.drainLeft < 0 {
			c.closeLocked()
		}
		return
	}
	if c.input != nil && len(c.received) == 0 {
		data = data[c.feedLocked(data):]
	}
	if !c.discarding && len(data) > 0 {
		c.received = append(c.received, data...)
		c.arrivals.add(len(data), at)
	}
	c.becomeBusyLocked()
}

// becomeBusyLocked reserves memory for the request that begins, or refuses it. It needs c.mu.
func (c *conn) becomeBusyLocked() {
	if !c.idle {
		return
	}
	c.idle = false
	c.listener.occupancy.setBusy(c)
	if !c.listener.occupancy.reserve(c.listener.limits.RequestMemory) {
		c.refuseLocked()
		return
	}
	c.reserved = c.listener.limits.RequestMemory
}

// dispatchLocked assigns what was received to lanes. It returns the lanes that the server does not serve yet. It needs
// c.mu.
func (c *conn) dispatchLocked() (started []*lane) {
	for len(c.received) > 0 {
		if c.input != nil {
			n := c.feedLocked(c.received)
			if c.discarding {
				return started
			}
			c.dropReceivedLocked(n)
			if n == 0 {
				return started
			}
			continue
		}
		if c.sealed || c.skipLocked() {
			return started
		}
		if c.next == nil && !c.frameLocked() {
			return started
		}
		if c.exclusive || len(c.order) > 0 && !c.mayRunBesideLocked(*c.next) || !c.reserveLocked() {
			return started
		}
		started = append(started, c.assignLocked(*c.next))
	}
	return started
}

// frameLocked sets next if the next head is complete. It rejects a head that is malformed or over the limit. It needs c.mu.
func (c *conn) frameLocked() bool {
	limit := c.listener.limits.headBytes()
	size, state := c.scanner.scan(c.received)
	switch {
	case state == malformedHead:
		c.rejectLocked(badRequest, c.listener.metrics.malformed)
		return false
	case size > limit, state == partialHead && len(c.received) >= limit:
		c.rejectLocked(headTooLarge, c.listener.metrics.tooLarge)
		return false
	case state == partialHead:
		c.limitHeadLocked()
		return false
	}
	f := parseFrame(c.received[:size])
	if f.class == malformed {
		response := badRequest
		if f.otherCoding {
			response = notImplemented
		}
		c.rejectLocked(response, c.listener.metrics.malformed)
		return false
	}
	c.next, c.partialSince = &f, time.Time{}
	return true
}

// rejectLocked ends the connection behind the requests that run, with a response unless that is nil. What was received and
// not assigned does not run. It needs c.mu.
func (c *conn) rejectLocked(response []byte, counter metrics.Counter) {
	counter.Inc(1)
	c.sealed, c.discarding, c.rejection, c.received, c.arrivals = true, true, response, nil, nil
	c.partialSince = time.Time{}
	c.changed.Broadcast()
}

// skipLocked ignores line breaks after the body of a request, as package net/http does. It reports whether nothing is
// left. It needs c.mu.
func (c *conn) skipLocked() bool {
	for c.skippable > 0 && len(c.received) > 0 && (c.received[0] == '\r' || c.received[0] == '\n') {
		c.dropReceivedLocked(1)
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

// dropReceivedLocked removes the first bytes of received, and returns when the last of them arrived. It needs c.mu.
func (c *conn) dropReceivedLocked(n int) time.Duration {
	c.received = c.received[n:]
	return c.arrivals.take(n)
}

// assignLocked gives the next request to a new lane. It needs c.mu.
func (c *conn) assignLocked(f frame) *lane {
	l := &lane{conn: c, body: f.bodyReader()}
	l.response.method = f.method
	l.in = c.received[:f.head:f.head]
	l.arrived = c.dropReceivedLocked(f.head)
	c.scanner, c.next = headScanner{}, nil
	c.reserved, l.reserved = 0, c.reserved
	if len(c.order) > 0 {
		c.listener.metrics.concurrent.Inc(1)
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
	if l.body.kind == malformedBody {
		c.input = nil
		c.rejectLocked(nil, c.listener.metrics.malformed)
	}
	if n == 0 {
		return 0
	}
	l.buffer = append(append(l.buffer[:0], l.in...), data[:n]...)
	l.in = l.buffer
	if l.body.done() {
		c.input = nil
	}
	c.changed.Broadcast()
	return n
}

// limitHeadLocked limits the time of an incomplete head from its first byte. It needs c.mu.
func (c *conn) limitHeadLocked() {
	timeout := c.listener.limits.headTimeout()
	if !c.partialSince.IsZero() || timeout <= 0 {
		return
	}
	c.partialSince = time.Now()
	_ = c.raw.SetReadDeadline(c.partialSince.Add(timeout))
}

// headExpiredLocked reports whether an incomplete head has taken too long. Otherwise it resets the deadline of reads, which
// is that of an earlier head. It needs c.mu.
func (c *conn) headExpiredLocked() bool {
	timeout := c.listener.limits.headTimeout()
	deadline := time.Time{}
	if !c.partialSince.IsZero() && timeout > 0 {
		if time.Since(c.partialSince) >= timeout {
			return true
		}
		deadline = c.partialSince.Add(timeout)
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
