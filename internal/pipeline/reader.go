package pipeline

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// reader reads a connection. Between reads it holds no buffer, so that idle connections need none.
type reader struct {
	raw  net.Conn
	file syscall.RawConn
	// pool is where buffer comes from.
	pool   *sync.Pool
	buffer *[]byte
	n      int
	err    error
	try    func(fd uintptr) bool
}

const (
	// readSize is the size in bytes of one read from a connection, bodyReadSize that of one while a body is expected.
	readSize, bodyReadSize = 4 << 10, 16 << 10
	// laneBuffer is the number of bytes of a body that are received before the server reads them.
	laneBuffer = 16 << 10
)

var readBuffers, bodyReadBuffers = newBufferPool(readSize), newBufferPool(bodyReadSize)

func newBufferPool(size int) *sync.Pool {
	return &sync.Pool{New: func() any { b := make([]byte, size); return &b }}
}

func newReader(raw net.Conn) *reader {
	r := &reader{raw: raw}
	r.try = r.tryRead
	if sc, ok := raw.(syscall.Conn); ok {
		r.file, _ = sc.SyscallConn()
	}
	return r
}

// read waits for bytes and returns them, in a buffer of readSize or bodyReadSize bytes. They are valid until release.
func (r *reader) read(size int) ([]byte, error) {
	if r.pool = readBuffers; size == bodyReadSize {
		r.pool = bodyReadBuffers
	}
	if r.file == nil {
		r.buffer = r.pool.Get().(*[]byte)
		n, err := r.raw.Read(*r.buffer)
		return (*r.buffer)[:n], err
	}
	if err := r.file.Read(r.try); err != nil {
		return nil, err
	}
	if r.err != nil {
		return nil, r.err
	}
	if r.n == 0 {
		return nil, io.EOF
	}
	return (*r.buffer)[:r.n], nil
}

// tryRead reads what has arrived. It returns false if nothing has.
func (r *reader) tryRead(fd uintptr) bool {
	r.buffer = r.pool.Get().(*[]byte)
	for {
		r.n, r.err = syscall.Read(int(fd), *r.buffer)
		if !errors.Is(r.err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(r.err, syscall.EAGAIN) {
		r.release()
		return false
	}
	return true
}

// release returns the buffer of the last read.
func (r *reader) release() {
	if r.buffer != nil {
		r.pool.Put(r.buffer)
		r.buffer = nil
	}
}
