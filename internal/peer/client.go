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
	// ErrNotSent says that the call surely did not reach the peer.
	ErrNotSent = errors.New("not sent")
	// ErrLost says that the call may have reached the peer and no reply came.
	ErrLost = errors.New("reply lost")
)

// redialPause is the shortest time between two dials of one connection: a peer
// that is down is not flooded with SYNs, and a restarted one is found soon.
const redialPause = 100 * time.Millisecond

// dialTimeout bounds one dial. Data centres are milliseconds apart; a second
// without an answer is a cut.
const dialTimeout = time.Second

// Client calls one peer over a fixed number of connections, opened on demand.
type Client struct {
	addr  string
	conns []*managedConn
	next  atomic.Uint64
}

// NewClient returns a client of the peer at addr. A call that times out may still be executed
// later: use it for queries and notifications, which are harmless then.
func NewClient(addr string, connections int) *Client { return newClient(addr, connections, false) }

// NewRequestClient returns a client whose calls carry requests: one that times out while the
// path to the peer is silent is not executed when the silence ends, since the connection is
// reset. Do not use it for large replies that are requested again after a timeout: over a full
// link each reset would start them anew.
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

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call sends args and waits until the context ends for the reply, to which reply must point.
// After an error it is unchanged. What args refers to must not change even after Call has
// returned: a call that timed out may still be written.
//
// The reply is decoded into a private value and copied once it is complete, because the
// context may end while net/rpc decodes.
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

// Close closes the connections; calls that wait get ErrLost.
func (c *Client) Close() {
	for _, conn := range c.conns {
		conn.close()
	}
}

// managedConn is one connection that is opened again after it broke.
//
// Invariant: the rpc client of a session is closed only once the session is retired and has no
// pending call, and a retired session accepts no call. So rpc.ErrShutdown always means that the
// call found the connection already shut, except after Close. The connection of a silent
// session may be closed under pending calls.
type managedConn struct {
	addr string
	// resetOnTimeout says that connections are probed, and reset if they are silent.
	resetOnTimeout bool
	// dialing is held during a dial; it guards lastDial.
	dialing  chan struct{}
	lastDial time.Time

	mu      sync.Mutex
	current *session
	closed  bool
}

// acquire returns the session for one more call. It waits for another call's dial no longer
// than the context lasts.
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

// acquireCurrent counts a call on the current session; it returns nil if there is none.
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

// setCurrent makes s the current session, with one call.
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
	dialer := &net.Dialer{Timeout: dialTimeout}
	if m.resetOnTimeout {
		return upstream.DialWithReset(ctx, dialer, "tcp", m.addr)
	}
	return dialer.DialContext(ctx, "tcp", m.addr)
}

// isConnError reports whether the error came from the connection and not the peer.
func isConnError(err error) bool {
	if err == nil {
		return false
	}
	var remote rpc.ServerError
	return !errors.As(err, &remote)
}

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

// releaseStalled releases a session whose writer was not done with a call that timed out. If the
// peer still does not read, later calls get another connection.
func (m *managedConn) releaseStalled(s *session, w *write) {
	timer := time.NewTimer(writeStallTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	m.release(s, !w.isWritten())
}

func (m *managedConn) retire(s *session) {
	s.retired = true
	if m.current == s {
		m.current = nil
	}
}

// classify classifies a call's error. Pending calls of a connection that breaks get
// io.ErrUnexpectedEOF and may have run; a call after that gets rpc.ErrShutdown and was not
// sent. The invariant of managedConn keeps the two apart.
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
