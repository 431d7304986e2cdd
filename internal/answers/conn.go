package answers

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"hemlockquay/internal/socket"
)

// Conn is a client's connection to a server. A read fails where a head is malformed, and an end of stream is reported only if the server
// sent it: bytes that were received before a reset never look like a complete stream.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writes is the number of writes in flight, and wrote is signalled when one has ended.
	writes int
	wrote  sync.Cond
	// failed is the first error of the system that a write returned.
	failed error
	head   head
	// broken is the error of a malformed head. Nothing can be read behind it.
	broken error
}

// NewConn returns a Conn for a new connection.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{Conn: nc}
	c.wrote.L = &c.mu
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin expects the head of the next answer. received is what was read from the connection and not parsed yet. The error is ErrBroken.
func (c *Conn) Begin(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{state: beforeStatus}
	return c.scanLocked(received)
}

// Began reports whether a part of the answer that Begin expected has been received.
func (c *Conn) Began() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.began
}

func (c *Conn) scanLocked(p []byte) error {
	if c.broken == nil {
		c.broken = c.head.scan(p)
	}
	return c.broken
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.wrote.Broadcast()
	// EPIPE is no report of a reset: it means that the server had ended its direction before it, or that a read got the report.
	var errno syscall.Errno
	if c.failed == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if broken := c.scanLocked(p[:n]); broken != nil {
		return 0, broken
	}
	if errors.Is(err, io.EOF) {
		if cause := c.causeOfEndLocked(); cause != nil {
			return n, fmt.Errorf("%w: cut off: %w", ErrBroken, cause)
		}
	}
	return n, err
}

// causeOfEndLocked returns the error that ended the stream, or nil if the server did. It needs c.mu.
//
// A write in flight may have received the error and not recorded it yet. It returns without waiting then, as for all writes to a
// connection that is closed in both directions. If only the server's direction is closed, no error was reported.
func (c *Conn) causeOfEndLocked() error {
	for c.writes > 0 && c.failed == nil && socket.Closed(c.Conn) {
		c.wrote.Wait()
	}
	return c.failed
}
