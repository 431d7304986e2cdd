package pipeline

import (
	"io"
	"net"
	"os"
	"slices"
	"time"
)

// lane is a net.Conn that carries one request of a connection at a time. The fields are guarded by conn.mu.
type lane struct {
	conn *conn
	// in is the part of the current request that the server has not read.
	in []byte
	// wroteHead reports whether the response has begun, handled whether its handler has returned, closeHidden whether
	// the caller was not told that the response ends the connection.
	wroteHead, handled, closeHidden bool
	// dropped reports whether the lane is closed, or its request will not be answered.
	dropped       bool
	readDeadline  time.Time
	deadlineTimer *time.Timer
}

// free reports whether the lane can take a request. It needs conn.mu.
func (l *lane) free() bool {
	return !l.dropped && len(l.in) == 0 && !slices.Contains(l.conn.order, l)
}

// readExpired reports whether the read deadline has passed. It needs conn.mu.
func (l *lane) readExpired() bool {
	return !l.readDeadline.IsZero() && !time.Now().Before(l.readDeadline)
}

func (l *lane) markHandled() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.handled = true
}

// Read implements net.Conn. It returns io.EOF to the server's background read when the caller has left.
func (l *lane) Read(p []byte) (int, error) {
	c := l.conn
	if l == c.primary {
		return c.read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch n := copy(p, l.in); {
		case n > 0:
			l.in = l.in[n:]
			return n, nil
		case c.closed, l.dropped, c.readErr != nil:
			return 0, io.EOF
		case l.readExpired():
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn.
func (l *lane) Write(p []byte) (int, error) { return l.conn.write(l, p) }

// Close implements net.Conn.
func (l *lane) Close() error {
	l.conn.closeLane(l)
	return nil
}

// CloseWrite ends the connection towards the caller, if the lane has it for itself.
func (l *lane) CloseWrite() error {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.raw.(interface{ CloseWrite() error }); ok && l == c.primary && (c.opaque || len(c.order) <= 1) {
		return w.CloseWrite()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (l *lane) LocalAddr() net.Addr { return l.conn.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *lane) RemoteAddr() net.Addr { return l.conn.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (l *lane) SetDeadline(t time.Time) error {
	if err := l.SetWriteDeadline(t); err != nil {
		return err
	}
	return l.SetReadDeadline(t)
}

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
	if l == c.primary && !c.interrupted {
		if err := c.raw.SetReadDeadline(t); err != nil {
			return err
		}
	}
	if left := time.Until(t); !t.IsZero() && left > 0 && (l != c.primary || c.waitsForLaneLocked()) {
		l.deadlineTimer = time.AfterFunc(left, c.wake)
	}
	c.changed.Broadcast()
	return nil
}

// waitsForLaneLocked reports whether the primary lane does not read the connection. It needs conn.mu.
func (c *conn) waitsForLaneLocked() bool {
	return !c.opaque && len(c.received) >= c.listener.limits.ReadAhead
}

// wake makes all lanes look at their deadlines.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}
