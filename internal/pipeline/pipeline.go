// Package pipeline lets the pipelined requests of a connection run at the same time.
//
// Load that it answers: callers that send further requests before the first one is answered. Package net/http runs the
// requests of a connection one after the other, so each waits for all those before it, and a caller that leaves while a
// further request of its waits unread is not noticed: the server's background read stops at the first byte of that
// request and does not see the end of the connection behind it.
//
// A connection is split into lanes, each of which is a net.Conn that package net/http serves. The first lane reads the
// connection. A request that arrives while another one of its connection is unanswered gets a lane of its own, if it has a
// safe method and no body; any other request waits until those before it are answered, and those behind it wait for it.
// Responses are written in the order of the requests. What cannot be framed with certainty is left to package net/http,
// with the rest of its connection.
//
// Limits bound the requests of a connection that run, and the bytes that are read ahead of them. Behind these bounds the
// connection is not read, so the end of the connection is noticed late there.
//
// A response that ends the connection (Connection: close) ends it behind the last request that runs: requests that were
// not begun are not run, and those that run are answered.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Limits bound what one connection may occupy.
type Limits struct {
	// Requests is the number of requests that run at the same time.
	Requests int
	// ReadAhead is the number of bytes of requests that are read before they run.
	ReadAhead int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// WriteTimeout bounds the time in which a caller must read writeChunk bytes of a response, 0 for no bound.
	WriteTimeout time.Duration
}

// Listener accepts connections and splits them into lanes. It implements net.Listener for an http.Server, which must have
// the hooks of Attach.
type Listener struct {
	net.Listener
	limits  Limits
	metrics listenerMetrics

	accepted  chan net.Conn
	acceptErr error
	failed    chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

type listenerMetrics struct {
	// concurrent counts requests that ran beside an earlier one, waited those that could not because of Limits.Requests.
	concurrent, waited metrics.Counter
	// opaque counts connections that were left to package net/http, unread those that ended before a received request ran.
	opaque, unread metrics.Counter
	// stalled counts connections that were closed because the caller did not read its response in time.
	stalled metrics.Counter
}

// NewListener returns a listener that accepts the connections of l. It closes l when it is closed.
func NewListener(l net.Listener, limits Limits, registry metrics.Registry) *Listener {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("pipeline."+name, registry)
	}
	out := &Listener{
		Listener: l, limits: limits, accepted: make(chan net.Conn), failed: make(chan struct{}), done: make(chan struct{}),
		metrics: listenerMetrics{
			concurrent: counter("concurrent"), waited: counter("waited"), opaque: counter("opaque"),
			unread: counter("unread"), stalled: counter("stalled"),
		},
	}
	go out.accept()
	return out
}

// Attach sets the hooks and the handler of a server that serves this listener. It must be called before the server starts.
func Attach(s *http.Server) {
	next := s.Handler
	s.ConnState = connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if l, ok := c.(*lane); ok {
			return context.WithValue(ctx, laneKey{}, l)
		}
		return ctx
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if l := laneOf(r.Context()); l != nil {
			l.markHandled()
		}
	})
}

// AwaitTurn waits until all earlier requests of the connection of a request are answered. A request that must not run
// twice needs it: a caller sends a request again if its connection ends with an earlier response. It returns false if the
// connection or ctx ends before.
func AwaitTurn(ctx context.Context) bool {
	l := laneOf(ctx)
	return l == nil || l.conn.awaitTurn(ctx, l)
}

type laneKey struct{}

func laneOf(ctx context.Context) *lane {
	l, _ := ctx.Value(laneKey{}).(*lane)
	return l
}

func connState(c net.Conn, state http.ConnState) {
	if l, ok := c.(*lane); ok && state == http.StateIdle {
		l.conn.finish(l)
	}
}

func (l *Listener) accept() {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.acceptErr = err
			close(l.failed)
			return
		}
		if !l.serve(newConn(l, raw).primary) {
			_ = raw.Close()
		}
	}
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

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
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
