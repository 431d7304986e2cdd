package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/budget"
)

const (
	// maxMessage bounds a message in bytes. It has room for the largest body of a request or an answer, 64 MiB.
	maxMessage = 72 << 20
	// maxHeader bounds the header of a request in bytes: the name of a method and a number. maxErrorHeader bounds that of a
	// reply, which may have the text of an error.
	maxHeader, maxErrorHeader = 1 << 10, 64 << 10
	// freeMessage is the size up to which a message needs no reservation. Nearly all messages are smaller.
	freeMessage = 16 << 10
	// messageTimeout bounds the time from the first byte of a message to its end.
	messageTimeout = 30 * time.Second
	// defaultConnections and defaultMemory are the bounds of a server if none are set.
	defaultConnections, defaultMemory = 1024, 256 << 20
)

// errMessageTooLarge says that a message exceeds its limit, or the memory for all messages.
var errMessageTooLarge = errors.New("message too large")

// Bounds are the bounds of what the peers of a server may occupy.
type Bounds struct {
	// Connections is the number of connections. Where there is no room for a new one, the oldest that has sent no message is
	// closed.
	Connections int
	// Memory is what messages may take that are being received, in bytes, and Unproven what those may that are the first of
	// their connection.
	Memory, Unproven *budget.Share
	// Registry gets the counters peers.evicted and peers.rejected of connections that were closed to make room or as they
	// were opened, and peers.tooLarge of those that ended with a message for which there was no room.
	Registry metrics.Registry
}

// Bound sets the bounds. It is called before Serve.
func (s *Server) Bound(b Bounds) {
	s.bounds = b
	s.evicted = metrics.GetOrRegisterCounter("peers.evicted", b.Registry)
	s.rejected = metrics.GetOrRegisterCounter("peers.rejected", b.Registry)
	s.tooLarge = metrics.GetOrRegisterCounter("peers.tooLarge", b.Registry)
}

func defaultBounds() Bounds {
	registry := metrics.NewRegistry()
	memory := budget.New("peers.memory", defaultMemory, registry)
	return Bounds{Connections: defaultConnections, Memory: memory.Share(defaultMemory), Unproven: memory.Share(defaultMemory), Registry: registry}
}

// Replies returns bounds by which replies share the memory of messages.
func (b Bounds) Replies() ReplyBounds { return ReplyBounds{Memory: b.Memory, Registry: b.Registry} }

// ReplyBounds bound what the replies of peers may occupy, of all clients that have the same share.
type ReplyBounds struct {
	// Memory is what replies may take that are being received, in bytes. It may be nil.
	Memory *budget.Share
	// Registry gets the counter peers.replies.tooLarge of connections that ended with a reply for which there was no room.
	Registry metrics.Registry
}

// newMeter returns the meter of a connection to a peer.
func (b ReplyBounds) newMeter(conn net.Conn) *meter {
	tooLarge := metrics.Counter(metrics.NilCounter{})
	if b.Registry != nil {
		tooLarge = metrics.GetOrRegisterCounter("peers.replies.tooLarge", b.Registry)
	}
	return &meter{conn: conn, memory: b.Memory, unproven: b.Memory, tooLarge: tooLarge}
}

// meter bounds the messages that are read from a connection. It belongs to the goroutine that reads.
type meter struct {
	conn net.Conn
	// memory is where messages reserve memory, and unproven where the first one of a connection does.
	memory, unproven *budget.Share
	tooLarge         metrics.Counter
	// read is the number of bytes of the message that is being received, held what it has reserved.
	read, held int64
	// share is what held was reserved in.
	share *budget.Share
	// whole reports whether a message was received.
	whole bool
}

// begin begins the next message, and returns the memory of the last one.
func (m *meter) begin() {
	m.release()
	if m.read > 0 {
		_ = m.conn.SetReadDeadline(time.Time{})
	}
	m.read = 0
	if m.share = m.unproven; m.whole {
		m.share = m.memory
	}
}

func (m *meter) release() {
	m.share.Release(m.held)
	m.held = 0
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.conn.Read(p)
	if m.read == 0 && n > 0 {
		_ = m.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	}
	m.read += int64(n)
	if reserved := m.reserve(); reserved != nil {
		return 0, reserved
	}
	return n, err
}

// reserve reserves memory for what was read of a message.
func (m *meter) reserve() error {
	want := int64(0)
	if m.read > freeMessage {
		// A buffer that grows is held with the one before it, and a whole message with what is decoded of it.
		want = 2 * m.read
	}
	if m.read > maxMessage || !m.share.TryAcquire(want-m.held) {
		m.tooLarge.Inc(1)
		return fmt.Errorf("%w: %d bytes", errMessageTooLarge, m.read)
	}
	m.held = want
	return nil
}
