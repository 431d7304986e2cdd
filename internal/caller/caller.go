// Package caller decides whether a request may still be passed on.
//
// Load that it answers: requests that waited, in the buffers of the system, behind others of their connection, for their body, a
// permit, a place or a connection, or at another VM, and whose callers left or whose time passed meanwhile. The end of a
// connection lies behind the request in what the system has received, and timers of a process that did not run fire late. Without
// this decision targets work for nobody, at the moment at which a process that was held up has the most to do.
//
// Check is asked right before the first byte of a request goes to a target or to another process, and nowhere is a request
// passed on without it. What ends between Check and the write is cancelled as a request that was sent.
package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/boottime"
)

// Reasons for which a request may not be passed on.
var (
	// ErrLeft says that nobody waits for the answer: the caller has ended its connection or cancelled the request. A caller
	// that has ended only its own direction counts as one that left.
	ErrLeft = errors.New("caller left")
	// ErrExpired says that the time of the request is over.
	ErrExpired = errors.New("time is over")
)

// Connection is the connection on which a request came.
type Connection interface {
	// Left reports whether the other side has ended the connection, as far as the system has received it, read or not.
	Left() bool
}

type connectionKey struct{}

type expiryKey struct{}

type expiry struct {
	clock boottime.Clock
	at    time.Duration
}

// WithConnection returns a context of requests that came on a connection.
func WithConnection(ctx context.Context, c Connection) context.Context {
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// WithExpiry returns a context of a request whose time is over at a moment of a clock. Unlike a deadline of the context, it counts
// the time for which the VM was suspended.
func WithExpiry(ctx context.Context, clock boottime.Clock, at time.Duration) context.Context {
	return context.WithValue(ctx, expiryKey{}, expiry{clock: clock, at: at})
}

// Check returns nil if the request of a context may be passed on, or an error that is ErrLeft, ErrExpired or the cause with
// which the context was cancelled.
func Check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, context.DeadlineExceeded):
			return ErrExpired
		case !errors.Is(cause, context.Canceled):
			return fmt.Errorf("request ended: %w", cause)
		}
		return ErrLeft
	}
	if at, ok := ctx.Deadline(); ok && !time.Now().Before(at) {
		return ErrExpired
	}
	if e, ok := ctx.Value(expiryKey{}).(expiry); ok && e.clock.Now() >= e.at {
		return ErrExpired
	}
	if c, ok := ctx.Value(connectionKey{}).(Connection); ok && c.Left() {
		return ErrLeft
	}
	return nil
}
