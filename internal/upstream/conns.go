package upstream

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/budget"
)

// ErrConnLimit says that the pool has as many connections as its target accepts.
var ErrConnLimit = errors.New("as many connections as the target accepts")

// Conns bounds the open connections of all pools that belong to it. Where there is no room for a new one, the connection that
// has been idle for longest is closed, whichever pool it belongs to. It is safe for concurrent use.
//
// A pool's mutex may be held while c.mu is taken, never the other way round.
type Conns struct {
	share *budget.Share
	// receiveBuffer bounds what the system receives on a connection before it is read, in bytes, 0 for the system's own bound.
	receiveBuffer int
	// evicted counts idle connections that were closed to make room, refused the dials for which there was none.
	evicted, refused metrics.Counter

	mu sync.Mutex
	// idle holds the idle connections of all pools, the one that has been idle for longest first.
	idle list.List
}

// NewConns returns a bound that takes a descriptor for each connection from share.
func NewConns(share *budget.Share, registry metrics.Registry) *Conns {
	return &Conns{
		share:   share,
		evicted: metrics.GetOrRegisterCounter("connections.evicted", registry),
		refused: metrics.GetOrRegisterCounter("connections.refused", registry),
	}
}

// ReceiveBuffer bounds what the system receives on a connection before it is read, in bytes. It is called before the first use.
func (c *Conns) ReceiveBuffer(bytes int) *Conns {
	c.receiveBuffer = bytes
	return c
}

// limitReceive applies the bound of ReceiveBuffer to a new connection.
func (c *Conns) limitReceive(nc net.Conn) {
	if c == nil || c.receiveBuffer <= 0 {
		return
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Without the option the bound of the system holds, which only costs memory.
		_ = tcp.SetReadBuffer(c.receiveBuffer)
	}
}

// acquire takes a descriptor for a new connection. A nil Conns has no bound.
func (c *Conns) acquire() error {
	if c == nil {
		return nil
	}
	for !c.share.TryAcquire(1) {
		oldest := c.oldest()
		if oldest == nil {
			c.refused.Inc(1)
			return ErrNoDescriptor
		}
		if oldest.pool.discard(oldest) {
			c.evicted.Inc(1)
		}
	}
	return nil
}

func (c *Conns) release() {
	if c != nil {
		c.share.Release(1)
	}
}

// oldest takes the connection that has been idle for longest out of the list, or returns nil.
func (c *Conns) oldest() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	front := c.idle.Front()
	if front == nil {
		return nil
	}
	out := c.idle.Remove(front).(*conn)
	out.idleEntry = nil
	return out
}

func (c *Conns) setIdle(idle *conn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	idle.idleEntry = c.idle.PushBack(idle)
}

func (c *Conns) setBusy(busy *conn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if busy.idleEntry != nil {
		c.idle.Remove(busy.idleEntry)
		busy.idleEntry = nil
	}
}

// Of makes the pool take its connections from a bound for several pools. It is called before the first use.
func (p *Pool) Of(c *Conns) *Pool {
	p.conns = c
	return p
}

// LimitedTo makes the pool have no more open connections than max returns, 0 for no bound. It is called before the first
// use.
func (p *Pool) LimitedTo(max func() int) *Pool {
	p.maxOpen = max
	return p
}

// admit makes room for a new connection, or says why there is none. release must be called when it has ended.
func (p *Pool) admit() error {
	for {
		limit := int64(0)
		if p.maxOpen != nil {
			limit = int64(p.maxOpen())
		}
		if n := p.open.Add(1); limit <= 0 || n <= limit {
			break
		}
		p.open.Add(-1)
		if !p.discardOldest() {
			return fmt.Errorf("%w: %d", ErrConnLimit, limit)
		}
	}
	if err := p.conns.acquire(); err != nil {
		p.open.Add(-1)
		return err
	}
	return nil
}

func (p *Pool) release() {
	p.open.Add(-1)
	p.conns.release()
}

// discard closes an idle connection and reports whether it was idle.
func (p *Pool) discard(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, idle := range p.idle {
		if idle == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.close()
			return true
		}
	}
	return false
}

// discardOldest closes the connection of the pool that has been idle for longest, and reports whether there was one.
func (p *Pool) discardOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	c.close()
	return true
}
