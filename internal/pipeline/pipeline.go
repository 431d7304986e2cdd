// Package pipeline serves callers' connections: it frames their requests, lets pipelined ones run at the same time, and
// bounds what all connections of a listener occupy.
//
// Load that it answers: callers that send further requests before the first one is answered, and more connections than
// the VM has memory for. Package net/http runs the requests of a connection one after the other, so each waits for all
// those before it, and a caller that leaves while a further request of its waits unread is not noticed. It also keeps
// its buffers for every connection, whether that has a request or not.
//
// One goroutine a connection reads it and frames the requests. Each request is served by package net/http on a lane of
// its own: a net.Conn that carries this request only, and ends with it. A connection without a request has neither a
// lane nor a buffer. A request that arrives while another one of its connection is unanswered runs beside it if both have
// a safe method and no body; any other request waits until those before it are answered, and those behind it wait for
// it. Responses are written in the order of the requests.
//
// No byte of a request reaches package net/http before its head is complete, within the limits and framed with certainty.
// Other requests do not run: the connection ends with 431, 400 or 501 behind the responses to those before it, or is closed if
// the head takes too long.
//
// Limits bound the requests of a connection that run, and the bytes that are read ahead of them. Behind these bounds the
// connection is not read, so its end cancels the requests that run late there. The context of a request carries its connection, by
// which package caller learns of the end before the request is passed on. Further limits bound the memory and the
// number of all connections: what has no room for its first request gets 503 and has not run, and idle connections make
// room before that.
//
// A response that ends the connection (Connection: close) ends it behind the last request that runs: requests that were
// not begun are not run, and those that run are answered.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/caller"
	"hemlockquay/internal/stall"
)

// Limits bound what connections may occupy.
type Limits struct {
	// Name begins the names of the metrics. Default "pipeline".
	Name string
	// Requests is the number of requests of one connection that run at the same time.
	Requests int
	// ReadAhead is the number of bytes of requests of one connection that are read before they run, readSize at least.
	ReadAhead int
	// HeaderBytes bounds the size of a head in bytes, from the request line to the empty line at its end, 0 for
	// DefaultHeaderBytes.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head, 0 for no bound.
	HeaderTimeout time.Duration
	// Heads returns the values of HeaderBytes and HeaderTimeout that are in force, or 0 for those above. It may be nil.
	Heads func() (maxBytes int, timeout time.Duration)
	// WriteTimeout bounds the time in which a caller must read writeChunk bytes of a response, 0 for no bound.
	WriteTimeout time.Duration
	// IdleTimeout returns how long a connection is kept without a request, 0 for no bound. It may be nil.
	IdleTimeout func() time.Duration
	// Memory bounds the memory in bytes of all connections and of the requests that run, 0 for no bound. RequestMemory is
	// what a request that runs takes besides a long head, connMemory what a connection takes without one.
	Memory, RequestMemory int64
	// ReceiveBuffer bounds what the system receives on a connection before it is read, in bytes, 0 for the system's own
	// bound. It also bounds the bytes in flight on the way from the caller.
	ReceiveBuffer int
	// Connections bounds the number of all connections, 0 for no bound.
	Connections int
	// MemoryShare and DescriptorShare are what the connections may take of the process's budgets in bytes and descriptors.
	// They may be nil.
	MemoryShare, DescriptorShare *budget.Share
	// Clock tells when requests arrived, also if the VM was suspended since. Default: that of the system.
	Clock boottime.Clock
	// Stalls says when the process did not run, so that bytes may have waited unread. It may be nil.
	Stalls *stall.Meter
	// OnAcceptError is called with each error of the listener after which it tries again. It may be nil.
	OnAcceptError func(error)
}

// DefaultHeaderBytes is the limit of a head if none is set.
const DefaultHeaderBytes = 32 << 10

// headBytes returns the limit of a head.
func (l *Limits) headBytes() int {
	if l.Heads != nil {
		if n, _ := l.Heads(); n > 0 {
			return n
		}
	}
	if l.HeaderBytes > 0 {
		return l.HeaderBytes
	}
	return DefaultHeaderBytes
}

// headTimeout returns the limit of the time of a head, or 0 for none.
func (l *Limits) headTimeout() time.Duration {
	if l.Heads != nil {
		if _, d := l.Heads(); d > 0 {
			return d
		}
	}
	return l.HeaderTimeout
}

// Listener accepts connections and splits them into lanes. It implements net.Listener for an http.Server, which must have
// the hooks of Attach.
type Listener struct {
	net.Listener
	limits    Limits
	clock     boottime.Clock
	metrics   listenerMetrics
	occupancy *occupancy

	accepted  chan net.Conn
	acceptErr error
	failed    chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

type listenerMetrics struct {
	// concurrent counts requests that ran beside an earlier one, waited those that could not because of Limits.Requests.
	concurrent, waited metrics.Counter
	// malformed counts connections that ended with a request whose end is not certain, tooLarge those that ended with a head
	// over the limit, and tooSlow those that were closed because a head was not received in time.
	malformed, tooLarge, tooSlow metrics.Counter
	// unread counts connections that ended before a received request ran.
	unread metrics.Counter
	// stalled counts connections that were closed because the caller did not read its response in time.
	stalled metrics.Counter
	// expired counts connections that were closed at the idle timeout, evicted those that were closed earlier to make
	// room, rejected those that were closed as they were accepted, and refused the requests that got no room.
	expired, evicted, rejected, refused metrics.Counter
	// acceptErrors counts errors of the listener after which it tried again.
	acceptErrors metrics.Counter
	// unreadTime is how long bytes had waited that were read after the process did not run or did not read the connection.
	unreadTime metrics.Timer
}

// NewListener returns a listener that accepts the connections of l. It closes l when it is closed.
func NewListener(l net.Listener, limits Limits, registry metrics.Registry) *Listener {
	if limits.Name == "" {
		limits.Name = "pipeline"
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(limits.Name+"."+name, registry)
	}
	limits.ReadAhead = max(limits.ReadAhead, readSize)
	out := &Listener{
		Listener: l, limits: limits, clock: limits.Clock, accepted: make(chan net.Conn), failed: make(chan struct{}), done: make(chan struct{}),
		metrics: listenerMetrics{
			concurrent: counter("concurrent"), waited: counter("waited"), malformed: counter("malformed"), tooLarge: counter("tooLarge"), tooSlow: counter("tooSlow"),
			unread: counter("unread"), stalled: counter("stalled"), expired: counter("expired"),
			evicted: counter("evicted"), rejected: counter("rejected"), refused: counter("refused"), acceptErrors: counter("acceptErrors"),
			unreadTime: metrics.GetOrRegisterTimer(limits.Name+".unreadTime", registry),
		},
	}
	if out.clock == nil {
		out.clock = boottime.System{}
	}
	out.occupancy = newOccupancy(limits, out.metrics.evicted)
	metrics.NewRegisteredFunctionalGauge(limits.Name+".memory", registry, out.occupancy.bytes)
	metrics.NewRegisteredFunctionalGauge(limits.Name+".connections", registry, out.occupancy.connections)
	go out.accept()
	if limits.IdleTimeout != nil {
		go out.closeExpired()
	}
	return out
}

// Attach sets the hooks of a server that serves this listener. It must be called before the server starts.
func Attach(s *http.Server) {
	s.ConnState = connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if l, ok := c.(*lane); ok {
			return caller.WithConnection(context.WithValue(ctx, laneKey{}, l), l)
		}
		return ctx
	}
}

// AwaitTurn waits until all earlier requests of the connection of a request are answered. A request that must not run
// twice needs it: a caller sends a request again if its connection ends with an earlier response. It returns false if the
// connection or ctx ends before.
func AwaitTurn(ctx context.Context) bool {
	l, ok := ctx.Value(laneKey{}).(*lane)
	return !ok || l.conn.awaitTurn(ctx, l)
}

type laneKey struct{}

func connState(c net.Conn, state http.ConnState) {
	l, ok := c.(*lane)
	if ok && state == http.StateIdle {
		l.conn.finish(l)
	}
}

// minAcceptPause and maxAcceptPause bound the pause after an error of accept, which doubles with each further one.
const minAcceptPause, maxAcceptPause = 5 * time.Millisecond, time.Second

// accept accepts connections until Close. Errors such as a lack of descriptors end by themselves, or as idle connections are
// closed.
func (l *Listener) accept() {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			l.begin(raw)
			continue
		case l.closed(), errors.Is(err, net.ErrClosed):
			l.acceptErr = err
			close(l.failed)
			return
		}
		l.metrics.acceptErrors.Inc(1)
		if l.limits.OnAcceptError != nil {
			l.limits.OnAcceptError(err)
		}
		l.occupancy.evict(evictedPerError)
		select {
		case <-l.done:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// evictedPerError is the number of idle connections that are closed after an error of accept.
const evictedPerError = 16

// begin reads a new connection, or closes it if there is no room for it.
func (l *Listener) begin(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok && l.limits.ReceiveBuffer > 0 {
		// Without the option the bound of the system holds, which only costs memory.
		_ = tcp.SetReadBuffer(l.limits.ReceiveBuffer)
	}
	c := newConn(l, raw)
	if !l.occupancy.add(c) {
		l.metrics.rejected.Inc(1)
		_ = raw.Close()
		return
	}
	go c.run()
}

// serve passes a lane to the server and reports whether it is still accepting.
func (l *Listener) serve(lane *lane) bool {
	select {
	case l.accepted <- lane:
		return true
	case <-l.done:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.failed:
		return nil, l.acceptErr
	}
}

// Close implements net.Listener. Connections without a request that runs are closed, the others when those requests are
// answered.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	err := l.Listener.Close()
	for _, c := range l.occupancy.close() {
		c.shutDown()
	}
	return err
}

// Wait waits until all connections have ended after Close, or until ctx ends.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.occupancy.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closed reports whether the server accepts no more lanes.
func (l *Listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// maxIdleCheck is the longest interval at which idle connections are looked for.
const maxIdleCheck = time.Second

// closeExpired periodically closes the connections whose idle time has passed, until Close.
func (l *Listener) closeExpired() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C:
		}
		timeout := l.limits.IdleTimeout()
		next := maxIdleCheck
		for timeout > 0 {
			c, left := l.occupancy.oldest(timeout)
			if c == nil {
				next = min(max(left, time.Millisecond), maxIdleCheck)
				break
			}
			if c.closeIfIdle() {
				l.metrics.expired.Inc(1)
			}
		}
		timer.Reset(next)
	}
}
