// Package packed encodes large values that VMs send to each other as compressed MessagePack.
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

// maxBytes bounds a decoded value, so that a damaged message cannot use up the memory.
const maxBytes = 32 << 20

// ErrTooLarge is the error of a value that is larger than any that is sent.
var ErrTooLarge = errors.New("packed value too large")

// writers reuses the compressor's state, which is larger than most values.
var writers = sync.Pool{New: func() any {
	// BestSpeed is a valid level, which is the only possible error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Encode returns the packed value.
func Encode(v any) ([]byte, error) {
	var out bytes.Buffer
	w, _ := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if err := msgpack.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return out.Bytes(), nil
}

// Decode reads a packed value into v.
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
