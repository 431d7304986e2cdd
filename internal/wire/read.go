package wire

import (
	"bytes"
	"io"
)

// maxPreallocated bounds the memory that is taken on an announced length alone: a
// sender that announces 64 MiB and sends nothing must not cost them.
const maxPreallocated = 256 << 10

// ReadAll reads to the end. announced is the length that the sender named, -1 for
// none: a body of that length is read without growing its memory step by step.
func ReadAll(r io.Reader, announced int64) ([]byte, error) {
	if announced == 0 {
		// Still read to the end: what was announced is not trusted.
		return io.ReadAll(r)
	}
	var b bytes.Buffer
	if announced > 0 {
		b.Grow(int(min(announced, maxPreallocated)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
