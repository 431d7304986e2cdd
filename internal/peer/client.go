package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a call. An error that is none of these was returned by the peer.
var (
	// ErrNotSent says that the call did not reach the peer.
	ErrNotSent = errors.New("not sent")
	// ErrLost says that the call may have reached the peer, but no reply came.
	ErrLost = errors.New("reply lost")
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Client calls one peer over a fixed number of connections, which are opened on demand. It is
// safe for concurrent use.
type Client struct {
	addr  string
	conns []*managedConn
	next  atomic.Uint64
}

// NewClient returns a client of the peer at addr. A call that times out may still be executed
// later, so use this client only for queries and notifications, for which that is harmless.
//
// If a call times out while nothing is received from the peer, the connection is replaced, because
// after a cut it stays silent for as long again as the cut lasted. A peer that answers on no new
// connection either is given more time on each.
func NewClient(addr string, connections int) *Client { return newClient(addr, connections, false) }

// NewRequestClient returns a client for calls that carry requests. If a call times out while
// nothing is received from the peer, the connection is reset, so that the call is not executed
// once the path works again. Do not use it for large replies that are requested again after
// a timeout: over a saturated link each reset would restart the transfer.
func NewRequestClient(addr string, connections int) *Client {
	return newClient(addr, connections, true)
}

func newClient(addr string, connections int, resetOnTimeout bool) *Client {
	c := &Client{addr: addr, conns: make([]*managedConn, connections)}
	for i := range c.conns {
		c.conns[i] = &managedConn{addr: addr, resetOnTimeout: resetOnTimeout, changed: make(chan struct{})}
	}
	return c
}

// UseDial sets how the connections are opened. Call it before the first call. Default: TCP.
func (c *Client) UseDial(dial Dial) {
	for _, conn := range c.conns {
		conn.open = dial
	}
}

// Within bounds the replies. Call it before the first call. Default: each reply is bounded, their sum is not.
func (c *Client) Within(b ReplyBounds) *Client {
	for _, conn := range c.conns {
		conn.bounds = b
	}
	return c
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call calls a method of the peer and stores the result in reply, which must be a pointer. It
// returns when the context ends at the latest. A call whose context carries a caller is not written once that has left, or once
// its time is over; the error is then ErrNotSent with the reason. After an error the value at reply is unchanged.
// The caller must not modify args even after Call has returned, because a call that timed out may
// still be written.
//
// The reply is decoded into a separate value and copied when it is complete, because the context
// may end while net/rpc decodes.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn := c.conns[c.next.Add(1)%uint64(len(c.conns))]
	s, err := conn.acquire(ctx)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, err))
	}
	own := reflect.New(reflect.TypeOf(reply).Elem())
	w := newWrite(ctx, method, args, own.Interface())
	if err := s.enqueue(ctx, w); err != nil {
		conn.release(s, false)
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, err))
	}
	call := conn.awaitReply(ctx.Done(), s, w)
	if call == nil {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(conn.abandon(s, w), ctx.Err()))
	}
	conn.release(s, isConnError(call.Error))
	var withheld *withheldError
	if errors.As(call.Error, &withheld) {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, withheld))
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
	}
	return conn.classify(method, call.Error)
}

// Close closes the connections. Pending calls return ErrLost.
func (c *Client) Close() {
	for _, conn := range c.conns {
		conn.close()
	}
}

// managedConn is one connection to the peer, which is reopened after it broke.
//
// Invariant: the rpc client of a session is closed only after the session is retired and has no
// pending calls, and a retired session accepts no calls. So rpc.ErrShutdown always means that the
// connection was shut down before the call, except after Close. The network connection of a silent
// session may be closed while calls are pending.
type managedConn struct {
	addr string
	// resetOnTimeout says that a connection that is silent when a call times out is reset, so that the call
	// is not executed later.
	resetOnTimeout bool
	// bounds bound the replies.
	bounds ReplyBounds
	// open opens a connection in place of a TCP dial, if it is set.
	open Dial

	mu      sync.Mutex
	current *session
	closed  bool
	dials   dialState
	// unanswered is the number of sessions, one after the other, that were silent from their start.
	unanswered int
	// changed is closed and replaced when a dial ends.
	changed chan struct{}
}

// isConnError reports whether the error came from the connection rather than from the peer.
func isConnError(err error) bool {
	if err == nil {
		return false
	}
	var remote rpc.ServerError
	var withheld *withheldError
	return !errors.As(err, &remote) && !errors.As(err, &withheld)
}

// release removes a pending call from the session. If the call failed, the session is retired.
func (m *managedConn) release(s *session, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.pending--
	if failed {
		m.retire(s)
	}
	if s.retired && s.pending == 0 {
		s.end()
	}
}

// abandon ends a call that timed out. It returns ErrLost if the call may have reached the peer.
func (m *managedConn) abandon(s *session, w *write) error {
	if w.cancel() || w.state.Load() == writeCanceled {
		m.release(s, false)
		return ErrNotSent
	}
	if w.isWritten() {
		m.release(s, false)
		return ErrLost
	}
	go m.releaseStalled(s, w)
	return ErrLost
}

// releaseStalled releases the session of a call that timed out before it was completely written.
// If it is not written after writeStallTimeout, the session is retired, so that later calls use
// another connection.
func (m *managedConn) releaseStalled(s *session, w *write) {
	timer := time.NewTimer(writeStallTimeout)
	defer timer.Stop()
	select {
	case call := <-w.done:
		// A reply shows that the call was written, although its writer may not have recorded that yet.
		m.release(s, isConnError(call.Error))
	case <-timer.C:
		m.release(s, !w.isWritten())
	}
}

// retire excludes the session from further calls. m.mu is held.
func (m *managedConn) retire(s *session) {
	s.retired = true
	if m.current == s {
		m.current = nil
	}
}

// classify adds ErrLost or ErrNotSent to the error of a broken connection. Calls that are pending
// when the connection breaks get io.ErrUnexpectedEOF and may have run. A later call gets
// rpc.ErrShutdown and was not sent. The invariant of managedConn keeps the two cases apart.
func (m *managedConn) classify(method string, err error) error {
	if !isConnError(err) {
		if err == nil {
			return nil
		}
		return fmt.Errorf("%s at %s: %w", method, m.addr, err)
	}
	m.mu.Lock()
	closed := m.closed
	m.mu.Unlock()
	class := ErrLost
	if errors.Is(err, rpc.ErrShutdown) && !closed {
		class = ErrNotSent
	}
	return fmt.Errorf("%s at %s: %w", method, m.addr, errors.Join(class, err))
}

func (m *managedConn) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.notifyLocked()
	if m.dials.running > 0 {
		m.dials.cancel()
	}
	if m.current != nil {
		m.current.end()
		m.current = nil
	}
}
