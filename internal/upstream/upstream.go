// Package upstream sends requests to targets over persistent HTTP/1.1 connections.
//
// It replaces the client of net/http because the caller must know exactly what
// reached the target. The client of net/http retries some requests by itself,
// hides whether a connection was new, and reads no more than one answer: a request
// that must run once could run twice, and a stray answer could reach the wrong
// caller.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"hemlockquay/internal/answers"
)

// Errors of an exchange.
var (
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("not sent")
	// ErrWithheld says that Request.MaySend returned false. It comes with ErrNotSent.
	ErrWithheld = errors.New("withheld")
	// ErrLost says that the request may have reached the target, but no complete
	// answer came.
	ErrLost = errors.New("answer lost")
)

// Timeouts and limits of a connection.
const (
	// dialTimeout bounds a dial. Data centres of a region are about 1 ms apart,
	// and a lost SYN is retransmitted only after a second, so waiting longer
	// rarely helps where another target can serve.
	dialTimeout = 200 * time.Millisecond
	// unackedTimeout is the time after which a connection fails if sent bytes are
	// not acknowledged, because the path is cut or the peer has lost power. It
	// allows for five retransmissions.
	unackedTimeout = time.Second
	// keepAliveEvery is the time without data after which the peer is probed while an answer is awaited,
	// and the time between two probes. As unackedTimeout is set, the connection fails if the first probe
	// is not answered until the second is due, whatever keepAliveCount is.
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// defaultIdleTimeout is how long an idle connection is kept if the target does
	// not announce when it closes it.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target this side closes an idle
	// connection. A request that is sent while the target closes is lost.
	idleMargin = time.Second
)

// Request is a request as it is sent to a target.
type Request struct {
	Method string
	// URI is the request target, byte for byte as the caller sent it.
	URI  string
	Host string
	// Header holds all headers except Host and Content-Length.
	Header http.Header
	Body   []byte
	// ID is the request id that the answer must carry, or empty if the caller sent none. While it may be sent again, an
	// id is sent once on a connection, and so is a request without one.
	ID string
	// IDHeader is the name of the header that carries the id.
	IDHeader string
	// Advisory marks a request without an id whose answer may be that to an earlier one of its kind on the same
	// connection.
	Advisory bool
	// MaySend is called when a connection is open, right before the first byte is written. If it returns false, nothing is
	// sent. It may be nil.
	MaySend func() bool
	// MaxAnswer bounds the body of the answer in bytes. 0 means the usual bound, 64 MiB.
	MaxAnswer int64
}

// SmallAnswer is a value of Request.MaxAnswer for answers whose content is in their headers.
const SmallAnswer = freeBytes

func (r *Request) maxAnswer() int64 {
	if r.MaxAnswer > 0 {
		return r.MaxAnswer
	}
	return maxAnswerBytes
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte

	held reservation
}

// ConnPolicy says which connection an exchange may use.
type ConnPolicy int

// The policies.
const (
	// AnyConn uses a kept connection if there is one and dials otherwise.
	AnyConn ConnPolicy = iota
	// NewConn always dials.
	NewConn
	// KeptConn never dials. It is for orders that must reach the same process to
	// which the connection was opened.
	KeptConn
)

// ErrNoKeptConn says that no kept connection is left for an exchange that must not dial.
var ErrNoKeptConn = errors.New("no kept connection")

// Pool keeps the connections to one target. It is safe for concurrent use.
type Pool struct {
	addr   string
	dials  metrics.Counter
	source net.Addr
	// connect opens a connection to the address in place of a dial, if it is set.
	connect func(ctx context.Context, addr string) (net.Conn, error)
	// memory bounds the memory of answers, unless it is nil.
	memory *Memory
	// broken records broken answers. It may be nil.
	broken *answers.Log
	// conns bounds the connections of several pools, and maxOpen those of this one, unless they are nil. open counts the
	// connections that are open or being opened.
	conns   *Conns
	maxOpen func() int
	open    atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns an empty pool. dials counts its dials.
func NewPool(addr string, dials metrics.Counter) *Pool { return &Pool{addr: addr, dials: dials} }

// From makes the pool open its connections from a local address. It is called before the first use.
func (p *Pool) From(source netip.Addr) *Pool {
	if source.IsValid() {
		p.source = &net.TCPAddr{IP: source.AsSlice()}
	}
	return p
}

// OpenWith makes the pool open its connections by a function, unless that is nil. It is called before the first
// use.
func (p *Pool) OpenWith(open func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	p.connect = open
	return p
}

// Within makes the pool reserve the memory of its answers, which are to be released. It is called before the first use.
func (p *Pool) Within(m *Memory) *Pool {
	p.memory = m
	return p
}

// ReportTo makes the pool record broken answers in a log, which may be nil. It is called before the first use.
func (p *Pool) ReportTo(broken *answers.Log) *Pool {
	p.broken = broken
	return p
}

// Addr returns the target's address.
func (p *Pool) Addr() string { return p.addr }

// Dialer returns a dialer for connections that fail within seconds if the peer no
// longer responds, both while sending and while waiting for an answer.
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

// Exchange sends the request once and returns the complete answer. When the context
// ends, the connection is reset, so that the target can stop its work. After Exchange
// has returned an error, no part of the request arrives at the target any more.
func (p *Pool) Exchange(ctx context.Context, r *Request, choice ConnPolicy) (*Answer, error) {
	c, err := p.take(ctx, r, choice)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.addr, errors.Join(ErrNotSent, err))
	}
	if r.MaySend != nil && !r.MaySend() {
		p.put(c)
		return nil, fmt.Errorf("send to %s: %w", p.addr, errors.Join(ErrNotSent, ErrWithheld))
	}
	c.sent.add(ctx, r, time.Now())
	stop := context.AfterFunc(ctx, c.close)
	answer, reusable, err := c.exchange(r, p.memory)
	switch {
	case errors.Is(err, ErrTooLarge):
		if p.memory != nil {
			p.memory.onRefused(p.addr, err)
		}
	case err != nil && c.checked.Began() && ctx.Err() == nil:
		p.broken.Broken(p.addr, err)
	}
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

// take returns an idle connection on which the request was not sent, or a new one. It prefers the most recently used
// one, so that surplus connections exceed their idle time and are closed.
func (p *Pool) take(ctx context.Context, r *Request, choice ConnPolicy) (*conn, error) {
	for choice != NewConn {
		c := p.pop(r)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.nothingReceived() {
			return c, nil
		}
		c.close()
	}
	if choice == KeptConn {
		return nil, ErrNoKeptConn
	}
	return p.dial(ctx)
}

// Connect opens a connection and adds it to the pool.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", p.addr, err)
	}
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if err := p.admit(); err != nil {
		return nil, err
	}
	p.dials.Inc(1)
	connect := p.connect
	if connect == nil {
		dialer := Dialer(dialTimeout)
		dialer.LocalAddr = p.source
		connect = func(ctx context.Context, addr string) (net.Conn, error) {
			return DialWithReset(ctx, dialer, "tcp", addr)
		}
	}
	nc, err := connect(ctx, p.addr)
	if err != nil {
		p.release()
		return nil, err
	}
	p.conns.limitReceive(nc)
	c := newConn(nc)
	c.pool = p
	return c, nil
}

// pop removes the most recently used connection on which the request was not sent from the pool and returns it, or nil if
// there is none.
func (p *Pool) pop(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.sent.contains(r) {
			p.idle = slices.Delete(p.idle, i, i+1)
			p.conns.setBusy(c)
			return c
		}
	}
	return nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.conns.setIdle(c)
}

// CloseExpired closes the connections whose idle time has ended.
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

// CloseIdle closes the idle connections. It is used when the process that they lead to may have
// ended.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Close closes the idle connections. Those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
