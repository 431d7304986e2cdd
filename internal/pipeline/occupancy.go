package pipeline

import (
	"container/list"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// connMemory is the memory in bytes of a connection without a request: its goroutine, the objects of package net and
	// its entries here.
	connMemory = 8 << 10
	// spareDivisor is the fraction of the memory that requests beside an earlier one of their connection leave free. They
	// can wait for the earlier one, while a first request that gets no memory is refused.
	spareDivisor = 2
)

// occupancy bounds the memory and the number of all connections of a listener. Where there is no room, connections
// without a request are closed first, the one that has been idle for longest before the others.
//
// A conn's mutex may be held while o.mu is taken, never the other way round. A connection leaves the idle list before it
// evicts others, so the mutexes of the connections that wait for each other form no cycle.
type occupancy struct {
	limits  Limits
	evicted metrics.Counter

	mu    sync.Mutex
	used  int64
	conns map[*conn]struct{}
	// idle holds the connections without a request, the one that has been idle for longest first.
	idle   *list.List
	closed bool
	// empty is closed when no connection is left after close.
	empty chan struct{}
}

func newOccupancy(limits Limits, evicted metrics.Counter) *occupancy {
	return &occupancy{limits: limits, evicted: evicted, conns: make(map[*conn]struct{}), idle: list.New(), empty: make(chan struct{})}
}

func (o *occupancy) bytes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used
}

func (o *occupancy) connections() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(len(o.conns))
}

// add registers a new connection, which is idle. It returns false if there is no room for it.
func (o *occupancy) add(c *conn) bool {
	return o.makeRoom(connMemory, 1, func() {
		o.conns[c] = struct{}{}
		o.idleLocked(c)
	})
}

// reserve reserves memory for a part of a request, and closes idle connections if it has to.
func (o *occupancy) reserve(bytes int64) bool {
	return o.makeRoom(bytes, 0, func() {})
}

// reserveSpare reserves memory for a request that can wait.
func (o *occupancy) reserveSpare(bytes int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasSpareLocked(bytes) && o.takeLocked(bytes, 0)
}

// hasSpare reports whether there is memory for requests that can wait.
func (o *occupancy) hasSpare() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasSpareLocked(o.limits.RequestMemory)
}

func (o *occupancy) hasSpareLocked(bytes int64) bool {
	return o.limits.Memory <= 0 || o.used+bytes <= o.limits.Memory-o.limits.Memory/spareDivisor
}

// makeRoom adds bytes and connections within the limits and calls then with o.mu, or returns false.
func (o *occupancy) makeRoom(bytes int64, conns int, then func()) bool {
	for {
		o.mu.Lock()
		if o.closed && conns > 0 {
			o.mu.Unlock()
			return false
		}
		if o.takeLocked(bytes, conns) {
			then()
			o.mu.Unlock()
			return true
		}
		c := o.popLocked()
		o.mu.Unlock()
		if c == nil {
			return false
		}
		if c.closeIfIdle() {
			o.evicted.Inc(1)
		}
	}
}

// evict closes up to n idle connections.
func (o *occupancy) evict(n int) {
	for n > 0 {
		o.mu.Lock()
		c := o.popLocked()
		o.mu.Unlock()
		if c == nil {
			return
		}
		if c.closeIfIdle() {
			o.evicted.Inc(1)
			n--
		}
	}
}

// takeLocked adds bytes if they and the connections are within all limits. It needs o.mu.
func (o *occupancy) takeLocked(bytes int64, conns int) bool {
	if o.limits.Memory > 0 && o.used+bytes > o.limits.Memory || o.limits.Connections > 0 && len(o.conns)+conns > o.limits.Connections {
		return false
	}
	if !o.limits.MemoryShare.TryAcquire(bytes) {
		return false
	}
	if !o.limits.DescriptorShare.TryAcquire(int64(conns)) {
		o.limits.MemoryShare.Release(bytes)
		return false
	}
	o.used += bytes
	return true
}

// popLocked takes the connection that has been idle for longest out of the idle list. It needs o.mu.
func (o *occupancy) popLocked() *conn {
	front := o.idle.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*conn)
	o.busyLocked(c)
	return c
}

// release returns memory that was reserved.
func (o *occupancy) release(bytes int64) {
	if bytes == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseLocked(bytes)
}

func (o *occupancy) releaseLocked(bytes int64) {
	o.used -= bytes
	o.limits.MemoryShare.Release(bytes)
}

// remove forgets a connection that is closed.
func (o *occupancy) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.conns[c]; !ok {
		return
	}
	delete(o.conns, c)
	o.busyLocked(c)
	o.releaseLocked(connMemory)
	o.limits.DescriptorShare.Release(1)
	o.signalEmptyLocked()
}

// setIdle records that a connection has no request from now on.
func (o *occupancy) setIdle(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.conns[c]; ok && c.idleEntry == nil {
		o.idleLocked(c)
	}
}

// setBusy records that a connection has received a part of a request.
func (o *occupancy) setBusy(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busyLocked(c)
}

func (o *occupancy) idleLocked(c *conn) {
	c.idleSince = time.Now()
	c.idleEntry = o.idle.PushBack(c)
}

func (o *occupancy) busyLocked(c *conn) {
	if c.idleEntry != nil {
		o.idle.Remove(c.idleEntry)
		c.idleEntry = nil
	}
}

// oldest takes a connection that has been idle for a timeout out of the idle list. If there is none, it returns the time
// until the next one will have been.
func (o *occupancy) oldest(timeout time.Duration) (*conn, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	front := o.idle.Front()
	if front == nil {
		return nil, timeout
	}
	if left := timeout - time.Since(front.Value.(*conn).idleSince); left > 0 {
		return nil, left
	}
	return o.popLocked(), 0
}

// close makes add return false and returns all connections.
func (o *occupancy) close() []*conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	o.closed = true
	out := make([]*conn, 0, len(o.conns))
	for c := range o.conns {
		out = append(out, c)
	}
	o.signalEmptyLocked()
	return out
}

// signalEmptyLocked closes empty if the last connection has ended. It needs o.mu.
func (o *occupancy) signalEmptyLocked() {
	if o.closed && len(o.conns) == 0 {
		close(o.empty)
	}
}
