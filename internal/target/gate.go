package target

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"hemlockquay/internal/answers"
)

// gatedConn is a connection that asks before the first byte of a request whether the request may be sent. Package net/http may hold
// a request for a connection, and writes it in a goroutine of its own.
type gatedConn struct {
	net.Conn

	mu   sync.Mutex
	gate func() error
}

// NetConn returns the connection below.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. Nothing of a request is written whose gate returns an error.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	gate := c.gate
	c.gate = nil
	c.mu.Unlock()
	if gate != nil {
		if err := gate(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// withGate returns a context with which package net/http asks gate before it writes the first byte of a request.
func withGate(ctx context.Context, gate func() error) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		checked, ok := info.Conn.(*answers.Conn)
		if !ok {
			return
		}
		if c, ok := checked.NetConn().(*gatedConn); ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.gate = gate
		}
	}})
}
