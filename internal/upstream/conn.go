package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize holds the headers of a usual answer.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body that is sent before the answer is read:
	// it fits the peer's receive window also where windows are small.
	maxInlineBody = 8 << 10
	// maxAnswerBytes bounds an answer, bytes; it is held in memory whole.
	maxAnswerBytes = 64 << 20
	// maxStrayAnswers is how many answers of other requests are passed over before the
	// connection counts as broken.
	maxStrayAnswers = 3
	// timeoutParameter is the parameter of Keep-Alive that says when the target
	// closes an idle connection, seconds.
	timeoutParameter = "timeout="
)

// conn is one connection. One request is on it at a time.
type conn struct {
	net       net.Conn
	in        *bufio.Reader
	idleUntil time.Time
	closeOnce sync.Once
}

// newConn takes over a connection from DialWithReset.
func newConn(nc net.Conn) *conn {
	return &conn{net: nc, in: bufio.NewReaderSize(nc, readBufferSize), idleUntil: time.Now().Add(defaultIdleTimeout)}
}

// DialWithReset opens a connection whose end is a reset, also by the end of the process.
// When its Close has returned, nothing that was sent on it will arrive any more.
// The system goes on sending what was written to a closed connection: a grant or request that timed out
// would arrive when the target can be reached again. A reset drops what has not arrived.
func DialWithReset(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, fmt.Errorf("have the connection reset at its end: %w", errors.Join(err, nc.Close()))
		}
	}
	return nc, nil
}

// close ends the connection. When any call of it has returned, nothing that was sent on the
// connection will arrive any more.
func (c *conn) close() { c.closeOnce.Do(func() { _ = c.net.Close() }) }

// nothingReceived reports whether nothing arrived on an idle connection.
// Bytes or an end that wait unread show that the target closed the connection or sent a second response:
// the next request would be lost, or get the wrong one.
func (c *conn) nothingReceived() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// exchange returns the answer to r and whether the connection may be used again.
func (c *conn) exchange(r *Request) (*Answer, bool, error) {
	sent := c.send(r)
	a, keep, err := c.receive(r)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrLost, err)
	}
	// A target may answer before it has read a long body, and read on: the next request's bytes would be
	// taken for the rest of it.
	select {
	case err := <-sent:
		keep = keep && err == nil
	default:
		keep = false
	}
	return a, keep && c.in.Buffered() == 0, nil
}

// send writes the request. A long body is written beside the reading of the
// answer: a target that answers early and stops reading would block both sides.
func (c *conn) send(r *Request) <-chan error {
	done := make(chan error, 1)
	head := r.renderHead()
	if len(r.Body) <= maxInlineBody {
		_, err := c.net.Write(append(head, r.Body...))
		done <- err
		return done
	}
	go func() {
		_, err := c.net.Write(head)
		if err == nil {
			_, err = c.net.Write(r.Body)
		}
		done <- err
	}()
	return done
}

// headSizeHint is the room that the line and the headers of a usual request need, bytes.
const headSizeHint = 512

// renderHead renders the request line and the headers, with room for a body that is sent in the
// same write.
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

// receive reads answers until the one to r.
// A late or second response to an earlier request may come first. The id that the target echoes identifies
// the request that it answers.
func (c *conn) receive(r *Request) (*Answer, bool, error) {
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, fmt.Errorf("read answer: %w", err)
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.ID != "" && resp.Header.Get(r.IDHeader) != r.ID {
			continue
		}
		c.idleUntil = time.Now().Add(idleTimeout(resp.Header))
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close, nil
	}
	return nil, false, errors.New("read answer: none has the request's id")
}

// readBody reads a body to its end. A body that is shorter than announced, and
// one without a length whose connection is reset, are errors.
func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read body: %w", err)
	case len(body) > maxAnswerBytes:
		return nil, fmt.Errorf("read body: over %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// idleTimeout returns how long the target keeps the connection, less our margin.
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
