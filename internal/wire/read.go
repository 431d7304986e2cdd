package wire

import (
	"bytes"
	"io"
)

// maxPreallocated bounds the memory allocated for an announced length: a sender that
// announces 64 MiB and sends nothing must not make the receiver allocate that much.
const maxPreallocated = 256 << 10

// ReadAll reads r to its end. announced is the length that the sender declared, -1 for
// none; it is only used to allocate the buffer in advance.
func ReadAll(r io.Reader, announced int64) ([]byte, error) {
	if announced == 0 {
		// The announced length is not trusted, so read to the end.
		return io.ReadAll(r)
	}
	var b bytes.Buffer
	if announced > 0 {
		b.Grow(int(min(announced, maxPreallocated)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
