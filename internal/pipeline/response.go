package pipeline

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"
)

// writeChunk is the number of bytes that a caller must read within Limits.WriteTimeout.
const writeChunk = 16 << 10

// awaitTurn waits until the request of a lane is the oldest unanswered one. It returns false if there is no such time.
func (c *conn) awaitTurn(ctx context.Context, l *lane) bool {
	stop := context.AfterFunc(ctx, c.wake)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && !l.ended && ctx.Err() == nil && !c.isOldestLocked(l) {
		c.changed.Wait()
	}
	return !c.closed && !l.ended && ctx.Err() == nil
}

func (c *conn) isOldestLocked(l *lane) bool { return len(c.order) > 0 && c.order[0] == l }

// write writes a part of the response on a lane once all earlier requests are answered.
func (c *conn) write(l *lane, p []byte) (int, error) {
	c.mu.Lock()
	for !c.closed && !l.ended && !c.isOldestLocked(l) {
		c.changed.Wait()
	}
	if c.closed || l.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	out := l.response.next(p, c)
	c.mu.Unlock()
	if len(out) == 0 {
		return len(p), nil
	}
	if err := c.writeRaw(out); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeLocked()
		return 0, err
	}
	return len(p), nil
}

// response follows a response of package net/http as it is written, to know whether it is complete.
type response struct {
	// method is the method of the request.
	method string
	// head is the part of the head that was not passed on yet.
	head []byte
	// inBody reports whether the head is complete. body then finds the end.
	inBody bool
	body   bodyReader
}

// complete reports whether all of the response was written.
func (r *response) complete() bool { return r.inBody && r.body.done() }

// next returns the bytes to write for p. If the response ends the connection, no further request is begun, and the caller is
// not told while later requests run: it would take their responses for lost. It needs c.mu.
func (r *response) next(p []byte, c *conn) []byte {
	if r.inBody {
		r.body.consume(p)
		return p
	}
	if r.head != nil {
		p = append(r.head, p...)
		r.head = nil
	}
	from := 0
	for !r.inBody {
		end := bytes.Index(p[from:], headEnd)
		if end < 0 {
			r.head = slices.Clone(p[from:])
			return p[:from]
		}
		fields := parseResponseHead(p[from:from+end+len(headEnd)], r.method)
		if fields.closes {
			c.sealed, c.rejection = true, nil
			if len(c.order) > 1 {
				at := from + bytes.Index(p[from:], closeLine)
				p = slices.Concat(p[:at], p[at+len(closeLine)-len("\r\n"):])
				end -= len(closeLine) - len("\r\n")
			}
		}
		from += end + len(headEnd)
		if !fields.interim {
			r.inBody, r.body = true, fields.body
		}
	}
	r.body.consume(p[from:])
	return p
}

var (
	headEnd = []byte("\r\n\r\n")
	// closeLine is the header with which package net/http ends a connection.
	closeLine = []byte("\r\nConnection: close\r\n")
)

// responseFields is what the head of a response says about its extent.
type responseFields struct {
	interim, closes bool
	body            bodyReader
}

// parseResponseHead reads a head of a response to a request with the given method, as package net/http writes it.
func parseResponseHead(head []byte, method string) responseFields {
	status := 0
	if _, rest, ok := bytes.Cut(head, []byte(" ")); ok && len(rest) >= 3 {
		status, _ = strconv.Atoi(string(rest[:3]))
	}
	out := responseFields{
		interim: status >= 100 && status < 200 && status != http.StatusSwitchingProtocols,
		closes:  bytes.Contains(head, closeLine), body: bodyReader{kind: endlessBody},
	}
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		out.body = bodyReader{kind: sizedBody}
		return out
	}
	for rest := head; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case equalFold(name, "Content-Length"):
			if n, ok := parseLength(bytes.TrimSpace(value)); ok {
				out.body = bodyReader{kind: sizedBody, left: n}
			}
		case equalFold(name, "Transfer-Encoding"):
			out.body = bodyReader{kind: chunkedBody}
		}
	}
	return out
}

// writeRaw writes to the connection. A caller that does not read would otherwise hold the response, and the memory and the
// requests behind it, for as long as it keeps the connection.
func (c *conn) writeRaw(p []byte) error {
	timeout := c.listener.limits.WriteTimeout
	if timeout <= 0 {
		_, err := c.raw.Write(p)
		return err
	}
	for len(p) > 0 {
		n := min(len(p), writeChunk)
		if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		if _, err := c.raw.Write(p[:n]); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.listener.metrics.stalled.Inc(1)
			}
			return err
		}
		p = p[n:]
	}
	return nil
}
