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

	"hemlockquay/internal/upstream"
)

// Errors of a call. An error that is none of these was returned by the peer.
var (
	// ErrNotSent says that the call did not reach the peer.
	ErrNotSent = errors.New("not sent")
	// ErrLost says that the call may have reached the peer, but no reply came.
	ErrLost = errors.New("reply lost")
)

// redialPause is the minimum time between a failed dial of a connection and the
// next. It spares a peer that is down a flood of SYNs, and is short enough that a
// restarted peer is found soon.
const redialPause = 100 * time.Millisecond

// dialTimeout bounds one dial. Round trips between data centres take
// milliseconds, so no answer within a second means that the path is cut.
const dialTimeout = time.Second

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
		c.conns[i] = &managedConn{addr: addr, resetOnTimeout: resetOnTimeout, dialing: make(chan struct{}, 1)}
	}
	return c
}

// UseDial sets how the connections are opened. Call it before the first call. Default: TCP.
func (c *Client) UseDial(dial Dial) {
	for _, conn := range c.conns {
		conn.open = dial
	}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call calls a method of the peer and stores the result in reply, which must be a pointer. It
// returns when the context ends at the latest. After an error the value at reply is unchanged.
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
	w := newWrite(method, args, own.Interface())
	if err := s.enqueue(ctx, w); err != nil {
		conn.release(s, false)
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, err))
	}
	call := conn.awaitReply(ctx.Done(), s, w)
	if call == nil {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(conn.abandon(s, w), ctx.Err()))
	}
	conn.release(s, isConnError(call.Error))
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
	// resetOnTimeout says that the connection is probed when calls are late, and reset if it is
	// silent when a call times out.
	resetOnTimeout bool
	// open opens a connection in place of a TCP dial, if it is set.
	open Dial
	// dialing is a lock that is held during a dial. It guards lastDial, the time of the last
	// failed dial.
	dialing  chan struct{}
	lastDial time.Time

	mu      sync.Mutex
	current *session
	closed  bool
}

// acquire returns a session with one more pending call, and dials if there is none. It waits for
// another call's dial until the context ends at the latest.
func (m *managedConn) acquire(ctx context.Context) (*session, error) {
	if s, err := m.acquireCurrent(); s != nil || err != nil {
		return s, err
	}
	select {
	case m.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for another call's dial: %w", ctx.Err())
	}
	defer func() { <-m.dialing }()
	if s, err := m.acquireCurrent(); s != nil || err != nil {
		return s, err
	}
	s, err := m.dial(ctx)
	if err != nil {
		return nil, err
	}
	return m.setCurrent(s)
}

// acquireCurrent adds a pending call to the current session. It returns nil if there is none.
func (m *managedConn) acquireCurrent() (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, net.ErrClosed
	}
	if m.current != nil {
		m.current.pending++
	}
	return m.current, nil
}

// setCurrent makes s the current session and adds one pending call to it.
func (m *managedConn) setCurrent(s *session) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		s.end()
		return nil, net.ErrClosed
	}
	s.pending++
	m.current = s
	return s, nil
}

// dial opens a connection; m.dialing is held.
func (m *managedConn) dial(ctx context.Context) (*session, error) {
	if since := time.Since(m.lastDial); since < redialPause {
		return nil, fmt.Errorf("dial failed %v ago", since.Round(time.Millisecond))
	}
	nc, err := m.connect(ctx)
	if err != nil {
		m.lastDial = time.Now()
		return nil, err
	}
	return newSession(nc), nil
}

func (m *managedConn) connect(ctx context.Context) (net.Conn, error) {
	if m.open != nil {
		return m.open(ctx, m.addr)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if m.resetOnTimeout {
		return upstream.DialWithReset(ctx, dialer, "tcp", m.addr)
	}
	return dialer.DialContext(ctx, "tcp", m.addr)
}

// isConnError reports whether the error came from the connection rather than from the peer.
func isConnError(err error) bool {
	if err == nil {
		return false
	}
	var remote rpc.ServerError
	return !errors.As(err, &remote)
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
	if w.cancel() {
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
	if m.current != nil {
		m.current.end()
		m.current = nil
	}
}
