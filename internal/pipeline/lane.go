package pipeline

import (
	"io"
	"net"
	"os"
	"time"
)

// lane is a net.Conn that carries one request. The fields are guarded by conn.mu.
type lane struct {
	conn *conn
	// in is the part of the request that the server has not read, in buffer once a body has begun. body says how much of the
	// request is still to come.
	in, buffer []byte
	body       bodyReader
	response   response
	// ended reports whether the response is complete, or will not be sent.
	ended bool
	// arrived is when the head of the request arrived.
	arrived time.Duration
	// reserved is the memory in bytes that is reserved for the request.
	reserved      int64
	readDeadline  time.Time
	deadlineTimer *time.Timer
}

// readExpired reports whether the read deadline has passed. It needs conn.mu.
func (l *lane) readExpired() bool {
	return !l.readDeadline.IsZero() && !time.Now().Before(l.readDeadline)
}

// Read implements net.Conn. Behind the request it blocks until the request is answered, so that the server's background
// read ends if the caller leaves.
func (l *lane) Read(p []byte) (int, error) {
	c := l.conn
	c.mu.Lock()
	for {
		if c.closed || l.ended {
			c.mu.Unlock()
			return 0, io.EOF
		}
		if n := copy(p, l.in); n > 0 {
			l.in = l.in[n:]
			started := c.dispatchLocked()
			c.changed.Broadcast()
			c.mu.Unlock()
			c.start(started)
			return n, nil
		}
		if c.readErr != nil {
			c.mu.Unlock()
			return 0, io.EOF
		}
		if l.body.kind == malformedBody {
			c.mu.Unlock()
			return 0, io.ErrUnexpectedEOF
		}
		if l.readExpired() {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		l.limitWaitLocked()
		c.changed.Wait()
	}
}

// limitWaitLocked makes a blocked read end at its deadline. It needs conn.mu.
func (l *lane) limitWaitLocked() {
	if !l.readDeadline.IsZero() && l.deadlineTimer == nil {
		l.deadlineTimer = time.AfterFunc(time.Until(l.readDeadline), l.conn.wake)
	}
}

// Write implements net.Conn.
func (l *lane) Write(p []byte) (int, error) { return l.conn.write(l, p) }

// Close implements net.Conn.
func (l *lane) Close() error {
	l.conn.closeLane(l)
	return nil
}

// CloseWrite ends the connection towards the caller, if no other request is unanswered.
func (l *lane) CloseWrite() error {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.raw.(interface{ CloseWrite() error }); ok && len(c.order) == 1 && c.order[0] == l {
		c.sealed = true
		return w.CloseWrite()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (l *lane) LocalAddr() net.Addr { return l.conn.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *lane) RemoteAddr() net.Addr { return l.conn.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (l *lane) SetDeadline(t time.Time) error { return l.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. Writes are bounded by Limits.WriteTimeout, from when it is the lane's turn.
func (l *lane) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (l *lane) SetReadDeadline(t time.Time) error {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	l.readDeadline = t
	if l.deadlineTimer != nil {
		l.deadlineTimer.Stop()
		l.deadlineTimer = nil
	}
	c.changed.Broadcast()
	return nil
}

// wake makes all lanes look at their deadlines.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}
