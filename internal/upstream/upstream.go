// Package upstream sends requests to targets over kept HTTP/1.1 connections.
//
// It exists because the caller must know exactly what reached the target. The
// usual client sends some requests again by itself, hides whether a connection
// was new, and reads no more than one answer: a request that must run once could
// run twice, and a stray answer could reach the wrong caller.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// Errors of an exchange.
var (
	// ErrNotSent says that no byte of the request left.
	ErrNotSent = errors.New("not sent")
	// ErrLost says that the request may have reached the target and no whole
	// answer came.
	ErrLost = errors.New("answer lost")
)

// Figures of a connection.
const (
	// dialTimeout bounds a new connection. Data centres of a region are about
	// 1 ms apart; a lost SYN is sent again only after a second, so waiting
	// longer than this rarely helps where another target can serve.
	dialTimeout = 200 * time.Millisecond
	// unackedTimeout breaks a connection on which sent bytes are not
	// acknowledged: a cut or a peer without power. Five retransmissions fit.
	unackedTimeout = time.Second
	// keepAliveEvery and keepAliveCount find a connection that went silent
	// while it waits for an answer, within three seconds.
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// defaultIdleTimeout is how long a connection is kept without use where the target
	// does not say when it closes it.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target we close an idle
	// connection: a request that crosses the target's close is lost.
	idleMargin = time.Second
)

// Request is one request as it goes to a target.
type Request struct {
	Method string
	// URI is the request target, byte for byte as the caller sent it.
	URI  string
	Host string
	// Header holds all headers but Host and Content-Length.
	Header http.Header
	Body   []byte
	// ID is the request id that the answer must carry; empty where the caller
	// sent none.
	ID string
	// IDHeader names the header of the id.
	IDHeader string
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ConnPolicy says which connection an exchange may use.
type ConnPolicy int

// The choices.
const (
	// AnyConn takes a kept connection where there is one.
	AnyConn ConnPolicy = iota
	// NewConn always opens one.
	NewConn
	// KeptConn never opens one: it is for orders that must reach the process to
	// which the connection was opened.
	KeptConn
)

// errNoKeptConn says that no kept connection is left.
var errNoKeptConn = errors.New("no kept connection")

// Pool keeps the connections to one target. It is safe for concurrent use.
type Pool struct {
	addr  string
	dials metrics.Counter

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. dials counts those that it opens.
func NewPool(addr string, dials metrics.Counter) *Pool { return &Pool{addr: addr, dials: dials} }

// Addr returns the target's address.
func (p *Pool) Addr() string { return p.addr }

// Dialer returns the dialer for connections that must not hang on a peer that
// fell silent: sent bytes and idle waits both end in seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// Exchange sends the request once and returns the whole answer. When the context
// ends, the connection is reset, so that the target can stop its work. Nothing of a request
// arrives after its exchange has returned without an answer.
func (p *Pool) Exchange(ctx context.Context, r *Request, choice ConnPolicy) (*Answer, error) {
	c, err := p.take(ctx, choice)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.addr, errors.Join(ErrNotSent, err))
	}
	stop := context.AfterFunc(ctx, c.close)
	answer, reusable, err := c.exchange(r)
	if !stop() {
		c.close()
		if err == nil {
			return answer, nil
		}
		return nil, fmt.Errorf("exchange with %s from %s: %w", p.addr, c.net.LocalAddr(), errors.Join(err, ctx.Err()))
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("exchange with %s from %s: %w", p.addr, c.net.LocalAddr(), err)
	}
	if reusable {
		p.put(c)
	} else {
		c.close()
	}
	return answer, nil
}

// take returns the connection that was used last, so that surplus ones go idle
// and are closed, or a new one.
func (p *Pool) take(ctx context.Context, choice ConnPolicy) (*conn, error) {
	for choice != NewConn {
		c := p.pop()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.nothingReceived() {
			return c, nil
		}
		c.close()
	}
	if choice == KeptConn {
		return nil, errNoKeptConn
	}
	return p.dial(ctx)
}

// Connect opens a connection and keeps it for an exchange.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Inc(1)
	nc, err := DialWithReset(ctx, Dialer(dialTimeout), "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	p.idle = kept
}

// CloseIdle closes the idle connections: they lead to a process that may be gone.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Close closes the idle connections; those in use are closed after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
