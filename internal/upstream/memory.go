package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"hemlockquay/internal/budget"
)

const (
	// maxHeadBytes bounds the status line and the headers of an answer. It is the usual limit of HTTP servers.
	maxHeadBytes = 1 << 20
	// headCost is the memory that a byte of a head may take once it is parsed: an entry of a map costs far more than
	// the few bytes of a short header.
	headCost = 32
	// freeBytes is the size up to which a body needs no reservation, and freeHeadBytes that of a head. Nearly all answers are
	// smaller.
	freeBytes, freeHeadBytes = 16 << 10, 2 << 10
	// maxAnswerBytes bounds the body of an answer if the request does not.
	maxAnswerBytes = 64 << 20
)

// ErrTooLarge says that an answer exceeds its limit, or the memory for all answers. The target may have run the
// request.
var ErrTooLarge = errors.New("answer too large")

// Memory bounds the memory of all answers that are read or held at a time. A target may send a head or a body without
// end, and several may do so at once. It is safe for concurrent use.
type Memory struct {
	bytes *budget.Share
	// onRefused is called with the address of a target and the reason when an answer of it is cut off.
	onRefused func(addr string, err error)
}

// NewMemory returns a bound that takes its bytes from a share of the process's memory.
func NewMemory(bytes *budget.Share, onRefused func(addr string, err error)) *Memory {
	return &Memory{bytes: bytes, onRefused: onRefused}
}

// Reserve reserves memory for an answer that was received otherwise. It returns false if there is not enough.
func (m *Memory) Reserve(a *Answer) bool {
	size := int64(len(a.Body))
	if size <= freeBytes {
		return true
	}
	a.held = reservation{memory: m}
	return a.held.grow(size) == nil
}

// reservation is the memory that one answer has reserved.
type reservation struct {
	memory *Memory
	bytes  int64
}

// grow increases the reservation by some bytes.
func (r *reservation) grow(by int64) error {
	if by <= 0 || r.memory == nil {
		return nil
	}
	if !r.memory.bytes.TryAcquire(by) {
		return fmt.Errorf("%w: no memory for %d more bytes", ErrTooLarge, by)
	}
	r.bytes += by
	return nil
}

// shrink returns a part of the reservation.
func (r *reservation) shrink(by int64) {
	if r.memory != nil {
		r.memory.bytes.Release(by)
		r.bytes -= by
	}
}

func (r *reservation) release() {
	if r.memory != nil {
		r.memory.bytes.Release(r.bytes)
	}
	r.bytes = 0
}

// Release returns the memory that the answer has reserved. The answer must not be used after that.
func (a *Answer) Release() { a.held.release() }

// meter reads from a connection. While inHead is set, it bounds what is read.
type meter struct {
	conn   net.Conn
	inHead bool
	// head is the number of bytes that were read for the head.
	head int64
	held *reservation
}

// begin begins the head of the next answer, whose memory is reserved in r.
func (m *meter) begin(r *reservation) { m.inHead, m.head, m.held = true, 0, r }

// end ends the head. What follows is bounded by its reader.
func (m *meter) end() { m.inHead = false }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.inHead && m.head >= maxHeadBytes {
		return 0, fmt.Errorf("%w: head over %d bytes", ErrTooLarge, maxHeadBytes)
	}
	n, err := m.conn.Read(p)
	if !m.inHead {
		return n, err
	}
	before := max(m.head, freeHeadBytes)
	m.head += int64(n)
	if m.head > before {
		if full := m.held.grow(headCost * (m.head - before)); full != nil {
			return 0, full
		}
	}
	return n, err
}

// readBody reads a body of at most limit bytes to its end. A body that is shorter than its announced length is an error,
// and so is one without a length if the connection is reset. The body is not closed: that would read what is left of it,
// and the connection of a body that was not read to its end is closed.
func readBody(resp *http.Response, limit int64, held *reservation) ([]byte, error) {
	buffer := make([]byte, 0, firstCapacity(resp.ContentLength))
	for {
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, fmt.Errorf("read body: %w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case len(buffer) < cap(buffer):
			continue
		}
		next := min(2*int64(cap(buffer)), limit+1)
		if resp.ContentLength >= int64(len(buffer)) {
			// One more byte, so that the end is read without another buffer.
			next = min(next, resp.ContentLength+1)
		}
		if buffer, err = held.enlarge(buffer, next, resp.ContentLength >= 0); err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// enlarge returns a larger buffer with the same bytes. Both buffers are held until these are copied, and are reserved for a body that
// may have no end. Of one with an announced length, only the new one is.
func (r *reservation) enlarge(old []byte, size int64, announced bool) ([]byte, error) {
	held := int64(cap(old))
	if held <= freeBytes {
		held = 0
	}
	returned := int64(0)
	if announced {
		returned = held
	}
	if size > freeBytes {
		if err := r.grow(size - returned); err != nil {
			return old, err
		}
	}
	out := make([]byte, len(old), size)
	copy(out, old)
	r.shrink(held - returned)
	return out, nil
}

// firstCapacity returns the size of the first buffer for a body with the given announced length, or -1 for none.
func firstCapacity(announced int64) int64 {
	if announced >= 0 && announced < freeBytes {
		return announced + 1
	}
	return min(freeBytes, 512)
}
