package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"hemlockquay/internal/caller"
)

const (
	// writeStallTimeout is the time for one call's write after which the writer of a session
	// counts as stalled.
	writeStallTimeout = 50 * time.Millisecond
	// writeQueueLength bounds the calls that are queued for the writer of a session.
	writeQueueLength = 64
)

// session is one connection with its pending calls.
//
// net/rpc writes a call in the goroutine of the caller and blocks it while the peer does not
// read. So calls are written by a goroutine of the session, and callers wait only until their
// contexts end.
type session struct {
	rpc      *rpc.Client
	conn     *countingConn
	pending  int
	retired  bool
	delivery deliveryState

	writes chan *write
	ended  chan struct{}
	once   sync.Once
}

// write is a call that is queued for the writer of a session.
type write struct {
	// ctx is the context of the call.
	ctx         context.Context
	method      string
	args, reply any
	// done receives the call when it is complete.
	done   chan *rpc.Call
	queued time.Time
	state  atomic.Int32
}

// The states of a write.
const (
	writeQueued int32 = iota
	// writeBegun: the call may have been written in part.
	writeBegun
	// writeEnded: the call was completely written, or the connection broke.
	writeEnded
	// writeCanceled: the call was not written and will not be.
	writeCanceled
)

// withheldError is the error of a call that was not written because nobody waits for it any more.
type withheldError struct{ cause error }

// Error implements error.
func (e *withheldError) Error() string { return "withheld: " + e.cause.Error() }

// Unwrap returns the reason.
func (e *withheldError) Unwrap() error { return e.cause }

func newWrite(ctx context.Context, method string, args, reply any) *write {
	return &write{ctx: ctx, method: method, args: args, reply: reply, done: make(chan *rpc.Call, 1), queued: time.Now()}
}

// cancel cancels a queued call that timed out, if it has waited for writeStallTimeout: then the
// writer is stalled in another call. It reports whether it did. A writer that is not stalled is
// about to write the call.
func (w *write) cancel() bool {
	return time.Since(w.queued) >= writeStallTimeout && w.state.CompareAndSwap(writeQueued, writeCanceled)
}

// isWritten reports whether the writer is done with the call.
func (w *write) isWritten() bool { return w.state.Load() == writeEnded }

// newSession starts a session on an open connection.
func newSession(nc net.Conn, bounds ReplyBounds) *session {
	conn := &countingConn{Conn: nc}
	s := &session{
		rpc: rpc.NewClientWithCodec(clientCodec{newCodec(conn, bounds.newMeter(conn))}), conn: conn,
		writes: make(chan *write, writeQueueLength), ended: make(chan struct{}),
	}
	go s.writeCalls()
	return s
}

// writeCalls writes the queued calls, one at a time, until the session ends.
func (s *session) writeCalls() {
	for {
		select {
		case w := <-s.writes:
			s.writeCall(w)
		case <-s.ended:
			return
		}
	}
}

func (s *session) writeCall(w *write) {
	if err := caller.Check(w.ctx); err != nil {
		if w.state.CompareAndSwap(writeQueued, writeCanceled) {
			w.done <- &rpc.Call{Error: &withheldError{cause: err}}
		}
		return
	}
	if !w.state.CompareAndSwap(writeQueued, writeBegun) {
		return
	}
	s.rpc.Go(w.method, w.args, w.reply, w.done)
	w.state.Store(writeEnded)
}

// enqueue passes a call to the writer. It returns an error if the context ends first; then
// the call was not written.
func (s *session) enqueue(ctx context.Context, w *write) error {
	select {
	case s.writes <- w:
		return nil
	default:
	}
	select {
	case s.writes <- w:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end closes the connection and stops the writer. Pending calls get an error.
func (s *session) end() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.rpc.Close()
	})
}
