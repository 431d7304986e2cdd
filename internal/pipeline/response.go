package pipeline

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"
)

// writeChunk is the number of bytes that a caller must read within Limits.WriteTimeout.
const writeChunk = 16 << 10

// awaitTurn waits until the request of a lane is the oldest unanswered one. It returns false if there is no such time.
func (c *conn) awaitTurn(ctx context.Context, l *lane) bool {
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && !l.dropped && ctx.Err() == nil && !c.isOldestLocked(l) {
		c.changed.Wait()
	}
	return !c.closed && !l.dropped && ctx.Err() == nil
}

func (c *conn) isOldestLocked(l *lane) bool { return c.opaque || len(c.order) > 0 && c.order[0] == l }

// write writes a part of the response on a lane once all earlier requests are answered.
func (c *conn) write(l *lane, p []byte) (int, error) {
	c.mu.Lock()
	for !c.closed && !l.dropped && !c.isOldestLocked(l) {
		c.changed.Wait()
	}
	if c.closed || l.dropped {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	out := c.responseLocked(l, p)
	c.mu.Unlock()
	if err := c.writeRaw(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// responseLocked returns the bytes of a response to write for p. If the response ends the connection, no further request
// is begun, and the caller is not told while later requests run: it would take their responses for lost. It needs c.mu.
func (c *conn) responseLocked(l *lane, p []byte) []byte {
	if c.opaque || l.wroteHead {
		return p
	}
	l.wroteHead = true
	at, size := findClose(p)
	if size == 0 {
		return p
	}
	c.sealed = true
	if len(c.order) < 2 {
		return p
	}
	l.closeHidden, c.closeAfter = true, true
	return append(slices.Clone(p[:at]), p[at+size:]...)
}

// closeLine is the header with which package net/http ends a connection.
var closeLine = []byte("\r\nConnection: close\r\n")

// findClose returns the place and size of the header of a response that ends the connection, or size 0.
func findClose(response []byte) (at, size int) {
	end := bytes.Index(response, []byte("\r\n\r\n"))
	if end < 0 {
		end = len(response)
	}
	head := response[:min(end+2, len(response))]
	if at = bytes.Index(head, closeLine); at < 0 {
		return 0, 0
	}
	return at, len(closeLine) - len("\r\n")
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
