package upstream

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/socket"
)

const (
	// readBufferSize is large enough for the headers of a typical answer.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body that is sent before the answer is read.
	// It fits into the peer's receive window even if that is small.
	maxInlineBody = 8 << 10
	// maxAnswersPerRequest bounds the answers, interim ones included, that are read for one
	// request. If none of them is its own answer, the connection counts as broken.
	maxAnswersPerRequest = 3
	// timeoutParameter is the parameter of the Keep-Alive header that announces after
	// how many seconds the target closes an idle connection.
	timeoutParameter = "timeout="
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net net.Conn
	// checked is net with checks of what is read.
	checked *answers.Conn
	// meter bounds the heads of answers. in reads from it, and it reads from checked.
	meter     *meter
	in        *bufio.Reader
	idleUntil time.Time
	// sent belongs to the exchange that uses the connection.
	sent      sentRequests
	closeOnce sync.Once
	// pool is where the connection counts as open, unless it is nil. idleEntry is its entry in the pool's Conns, which
	// guards it.
	pool      *Pool
	idleEntry *list.Element
}

// newConn returns a conn for a connection that was opened by DialWithReset.
func newConn(nc net.Conn) *conn {
	checked := answers.NewConn(nc)
	m := &meter{conn: checked}
	return &conn{net: nc, checked: checked, meter: m, in: bufio.NewReaderSize(m, readBufferSize), idleUntil: time.Now().Add(defaultIdleTimeout)}
}

// DialWithReset opens a connection that is ended by a reset, both by Close and at the end of the
// process. After Close has returned, nothing that was sent on it arrives any more.
//
// By default the kernel keeps sending data that was written before Close, so a grant or request
// that timed out could arrive once the target is reachable again. A reset discards it.
func DialWithReset(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, fmt.Errorf("set SO_LINGER to 0: %w", errors.Join(err, nc.Close()))
		}
	}
	return nc, nil
}

// close resets the connection. It is safe for concurrent use. When any call has returned, nothing
// that was sent on the connection arrives any more.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.net.Close()
		if c.pool != nil {
			c.pool.conns.setBusy(c)
			c.pool.release()
		}
	})
}

// nothingReceived reports whether nothing has arrived on an idle connection. Unread bytes, or an
// end of the stream, show that the target has sent a second answer or closed the connection. The
// next request would get the wrong answer or be lost.
func (c *conn) nothingReceived() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	state := socket.Peek(c.net)
	return state == socket.Quiet || state == socket.Unknown
}

// exchange sends r and returns its answer, and whether the connection may be reused. The answer's memory is reserved in
// memory, unless that is nil.
func (c *conn) exchange(r *Request, memory *Memory) (*Answer, bool, error) {
	sent := c.send(r)
	held := reservation{memory: memory}
	a, keep, err := c.receive(r, &held)
	if err != nil {
		held.release()
		return nil, false, fmt.Errorf("%w: %w", ErrLost, err)
	}
	// A target may answer before it has read a long body and then continue to read it. On a reused
	// connection it would read the next request as the rest of that body.
	select {
	case err := <-sent:
		keep = keep && err == nil
	default:
		keep = false
	}
	a.held = held
	return a, keep && c.in.Buffered() == 0, nil
}

// send writes the request. A long body is written concurrently with reading the
// answer; otherwise a target that answers early and stops reading would block
// both sides.
func (c *conn) send(r *Request) <-chan error {
	done := make(chan error, 1)
	head := r.renderHead()
	if len(r.Body) <= maxInlineBody {
		_, err := c.checked.Write(append(head, r.Body...))
		done <- err
		return done
	}
	go func() {
		_, err := c.checked.Write(head)
		if err == nil {
			_, err = c.checked.Write(r.Body)
		}
		done <- err
	}()
	return done
}

// headSizeHint is the size of the request line and the headers of a typical request, in bytes.
const headSizeHint = 512

// renderHead returns the request line and the headers, with capacity for the body if that is sent
// in the same write.
func (r *Request) renderHead() []byte {
	room := headSizeHint
	if len(r.Body) <= maxInlineBody {
		room += len(r.Body)
	}
	b := make([]byte, 0, room)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads answers until that to r, and reports whether the target keeps the connection open.
//
// A late or second answer to an earlier request may come first. The request id that the target
// echoes shows to which request an answer belongs, as no two requests on a connection have the same id.
func (c *conn) receive(r *Request, held *reservation) (*Answer, bool, error) {
	for range maxAnswersPerRequest {
		c.meter.begin(held)
		// What is buffered follows the answer before.
		buffered, _ := c.in.Peek(c.in.Buffered())
		if err := c.checked.Begin(buffered); err != nil {
			return nil, false, fmt.Errorf("read answer: %w", err)
		}
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		c.meter.end()
		if err != nil {
			return nil, false, fmt.Errorf("read answer: %w", err)
		}
		body, err := readBody(resp, r.maxAnswer(), held)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader != "" && resp.Header.Get(r.IDHeader) != r.ID {
			continue
		}
		c.idleUntil = time.Now().Add(idleTimeout(resp.Header))
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close, nil
	}
	return nil, false, fmt.Errorf("read answer: none of %d answers has the request's id", maxAnswersPerRequest)
}

// idleTimeout returns how long to keep the connection idle: the time announced by
// the target less idleMargin, but at least half of it.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), timeoutParameter)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			stated := time.Duration(n) * time.Second
			return max(stated-idleMargin, stated/2)
		}
	}
	return defaultIdleTimeout
}
