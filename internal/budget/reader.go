package budget

import (
	"errors"
	"io"
)

// ErrNoMemory says that what is read has no room in the memory of the process.
var ErrNoMemory = errors.New("no memory for what is received")

// Reader reads from In and reserves memory for what it has read, until Release. Bytes that one sender sends without end, or many
// senders together, end with ErrNoMemory.
type Reader struct {
	In io.Reader
	// Share is where the memory is reserved. It may be nil.
	Share *Share

	held int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.In.Read(p)
	// A buffer that grows is held with the one before it.
	held := 2 * int64(n)
	if !r.Share.TryAcquire(held) {
		return 0, ErrNoMemory
	}
	r.held += held
	return n, err
}

// Release returns the memory.
func (r *Reader) Release() {
	r.Share.Release(r.held)
	r.held = 0
}
