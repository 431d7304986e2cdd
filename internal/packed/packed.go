// Package packed encodes large values that VMs send to each other, as MessagePack compressed
// with DEFLATE.
package packed

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// maxBytes bounds the decompressed size of a value, so that a corrupted message cannot exhaust
// the memory.
const maxBytes = 32 << 20

// ErrTooLarge is returned by Decode for a value of more than maxBytes, larger than any that is sent.
var ErrTooLarge = errors.New("packed value too large")

// compressorPool reuses compressors, whose state is larger than most values.
var compressorPool = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level, and BestSpeed is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Encode returns v in packed form.
func Encode(v any) ([]byte, error) {
	var out bytes.Buffer
	w, _ := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(&out)
	if err := msgpack.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return out.Bytes(), nil
}

// Decode decodes the packed value data into v.
func Decode(data []byte, v any) error {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(data)), N: maxBytes}
	err := msgpack.NewDecoder(limited).Decode(v)
	if err != nil && limited.N == 0 {
		err = ErrTooLarge
	}
	if err != nil {
		return fmt.Errorf("unpack: %w", err)
	}
	return nil
}
