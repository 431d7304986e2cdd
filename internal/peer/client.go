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
	lanes []*lane
	next  atomic.Uint64
}

// NewClient returns a client of the peer at addr. A call that is given up may still be
// carried out later: it is for questions and news, which do no harm then.
func NewClient(addr string, connections int) *Client { return newClient(addr, connections, false) }

// NewRequestClient returns a client whose calls carry requests: one that is given up while
// the way to the peer is silent is not carried out when the silence ends.
//
// Load pattern: where links are so full that nothing arrives for half a second, this ends
// connections. Questions that are asked again, such as those for a whole configuration, would
// begin anew each time and fill the links for longer; so it is not for them.
func NewRequestClient(addr string, connections int) *Client {
	return newClient(addr, connections, true)
}

func newClient(addr string, connections int, dropsGivenUp bool) *Client {
	c := &Client{addr: addr, lanes: make([]*lane, connections)}
	for i := range c.lanes {
		c.lanes[i] = &lane{addr: addr, dropsGivenUp: dropsGivenUp, dialing: make(chan struct{}, 1)}
	}
	return c
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Call sends args and waits until the context ends for the reply, to which reply
// must point. After an error it is unchanged. What args refers to must not change even after
// Call has returned: a call that was given up may still be written.
//
// Failure: the context ends as the reply arrives, and net/rpc decodes into a value
// that the caller reads already: half of a vote is counted. So the reply is decoded
// into a value that nobody else has, and handed over once it is whole.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	l := c.lanes[c.next.Add(1)%uint64(len(c.lanes))]
	conn, err := l.acquire(ctx)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, err))
	}
	own := reflect.New(reflect.TypeOf(reply).Elem())
	w := newWrite(method, args, own.Interface())
	if err := conn.enqueue(ctx, w); err != nil {
		l.release(conn, false)
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(ErrNotSent, err))
	}
	call := l.await(ctx.Done(), conn, w)
	if call == nil {
		return fmt.Errorf("%s at %s: %w", method, c.addr, errors.Join(l.abandon(conn, w), ctx.Err()))
	}
	l.release(conn, broken(call.Error))
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
	}
	return l.outcome(method, call.Error)
}

// Close closes the connections; calls that wait get ErrLost.
func (c *Client) Close() {
	for _, l := range c.lanes {
		l.close()
	}
}

// lane is one connection that is opened again after it broke.
//
// Invariant: the rpc client of a session is closed only once the session is retired
// and no call waits on it, and a retired session takes no call. So rpc.ErrShutdown
// always means that the call found the connection already shut, except after Close.
// The connection below a silent session may end under calls that wait.
type lane struct {
	addr string
	// dropsGivenUp says that connections are probed, and end with a reset if they are silent.
	dropsGivenUp bool
	// dialing is held while the lane is dialled; it guards lastDial.
	dialing  chan struct{}
	lastDial time.Time

	mu      sync.Mutex
	current *session
	closed  bool
}

// acquire returns the session for one more call.
//
// Failure: the peer is cut off, and each dial takes its second. A call whose time is over
// sooner waits behind the dial of another, and its caller gets no answer in time. So the
// wait for another's dial ends with the context.
func (l *lane) acquire(ctx context.Context) (*session, error) {
	if s, err := l.take(); s != nil || err != nil {
		return s, err
	}
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for another call's dial: %w", ctx.Err())
	}
	defer func() { <-l.dialing }()
	if s, err := l.take(); s != nil || err != nil {
		return s, err
	}
	s, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return l.use(s)
}

// take counts a call on the current session; it returns nil if there is none.
func (l *lane) take() (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if l.current != nil {
		l.current.pending++
	}
	return l.current, nil
}

// use makes s the current session, with one call.
func (l *lane) use(s *session) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		s.end()
		return nil, net.ErrClosed
	}
	s.pending++
	l.current = s
	return s, nil
}

// dial opens a connection; l.dialing is held.
func (l *lane) dial(ctx context.Context) (*session, error) {
	if since := time.Since(l.lastDial); since < redialPause {
		return nil, fmt.Errorf("dial failed %v ago", since.Round(time.Millisecond))
	}
	nc, err := l.connect(ctx)
	if err != nil {
		l.lastDial = time.Now()
		return nil, err
	}
	return newSession(nc), nil
}

func (l *lane) connect(ctx context.Context) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if l.dropsGivenUp {
		return upstream.DialWithReset(ctx, dialer, "tcp", l.addr)
	}
	return dialer.DialContext(ctx, "tcp", l.addr)
}

// broken tells whether the error came from the connection and not the peer.
func broken(err error) bool {
	if err == nil {
		return false
	}
	var remote rpc.ServerError
	return !errors.As(err, &remote)
}

func (l *lane) release(s *session, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pending--
	if failed {
		l.retire(s)
	}
	if s.retired && s.pending == 0 {
		s.end()
	}
}

// abandon ends a call that was given up, and tells whether it may have reached the peer.
func (l *lane) abandon(s *session, w *write) error {
	if w.cancel() {
		l.release(s, false)
		return ErrNotSent
	}
	if w.isWritten() {
		l.release(s, false)
		return ErrLost
	}
	go l.releaseStuck(s, w)
	return ErrLost
}

// releaseStuck releases a session whose writer was not done with a call that was given up.
// If the peer still does not read, calls after it get another connection.
func (l *lane) releaseStuck(s *session, w *write) {
	timer := time.NewTimer(stuckAfter)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	l.release(s, !w.isWritten())
}

func (l *lane) retire(s *session) {
	s.retired = true
	if l.current == s {
		l.current = nil
	}
}

// outcome turns a call's error into ours.
//
// Failure: the connection breaks. Calls that wait get io.ErrUnexpectedEOF, and
// may have run. A call made after the break gets rpc.ErrShutdown and was not
// sent; the lane's invariant keeps the two apart. To take the second for the
// first would lose requests needlessly whenever a peer restarts; to take the
// first for the second would run a request twice.
func (l *lane) outcome(method string, err error) error {
	if !broken(err) {
		if err == nil {
			return nil
		}
		return fmt.Errorf("%s at %s: %w", method, l.addr, err)
	}
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	class := ErrLost
	if errors.Is(err, rpc.ErrShutdown) && !closed {
		class = ErrNotSent
	}
	return fmt.Errorf("%s at %s: %w", method, l.addr, errors.Join(class, err))
}

func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current != nil {
		l.current.end()
		l.current = nil
	}
}
