package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeStallTimeout is how long the writer of a session may take with one call until the
	// connection counts as stuck.
	writeStallTimeout = 50 * time.Millisecond
	// writeQueueLength bounds the calls that wait for the writer of a session.
	writeQueueLength = 64
)

// session is one connection and the number of its pending calls.
//
// net/rpc writes a call in the goroutine that makes it, however long the peer does not read.
// So a goroutine of the session writes, and the callers wait for it only as long as they may.
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

// write is a call that is to be written.
type write struct {
	method      string
	args, reply any
	// done gets the call when it has ended.
	done   chan *rpc.Call
	queued time.Time
	state  atomic.Int32
}

// The states of a write.
const (
	writeQueued int32 = iota
	// writeBegun: a part may have been written.
	writeBegun
	// writeEnded: all of it was written, or the connection broke.
	writeEnded
	// writeCanceled: nothing was written, and nothing will be.
	writeCanceled
)

func newWrite(method string, args, reply any) *write {
	return &write{method: method, args: args, reply: reply, done: make(chan *rpc.Call, 1), queued: time.Now()}
}

// cancel removes a call that timed out from the queue of a writer that is stuck with another
// one. It reports whether it did: a writer that is not stuck is about to write the call.
func (w *write) cancel() bool {
	return time.Since(w.queued) >= writeStallTimeout && w.state.CompareAndSwap(writeQueued, writeCanceled)
}

// isWritten reports whether nothing of the call is left to write.
func (w *write) isWritten() bool { return w.state.Load() == writeEnded }

// newSession begins a session on an open connection.
func newSession(nc net.Conn) *session {
	conn := &countingConn{Conn: nc}
	s := &session{
		rpc: rpc.NewClientWithCodec(clientCodec{newCodec(conn)}), conn: conn,
		writes: make(chan *write, writeQueueLength), ended: make(chan struct{}),
	}
	go s.writeCalls()
	return s
}

// writeCalls writes one call after the other until the session ends.
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
	if !w.state.CompareAndSwap(writeQueued, writeBegun) {
		return
	}
	s.rpc.Go(w.method, w.args, w.reply, w.done)
	w.state.Store(writeEnded)
}

// enqueue hands a call to the writer. After an error nothing of the call was written.
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

// end closes the connection; calls that wait get an error.
func (s *session) end() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.rpc.Close()
	})
}
