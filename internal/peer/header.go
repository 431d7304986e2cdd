package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// Headers travel as one string of counts, lengths and texts. As a map by
// reflection they were half of a call's allocations: two strings, a slice and
// several values of package reflect for each header.

// errHeader says that a peer sent headers that cannot be read.
var errHeader = errors.New("malformed headers")

func init() {
	msgpack.Register(http.Header(nil), encodeHeader, decodeHeader)
}

// headerBuffers hold headers while they are encoded.
var headerBuffers = sync.Pool{New: func() any { return new([]byte) }}

func encodeHeader(e *msgpack.Encoder, v reflect.Value) error {
	h, _ := v.Interface().(http.Header)
	buffer := headerBuffers.Get().(*[]byte)
	defer headerBuffers.Put(buffer)
	*buffer = appendHeader((*buffer)[:0], h)
	return e.EncodeBytes(*buffer)
}

func decodeHeader(d *msgpack.Decoder, v reflect.Value) error {
	text, err := d.DecodeString()
	if err != nil {
		return fmt.Errorf("decode headers: %w", err)
	}
	h, err := parseHeader(text)
	if err != nil {
		return err
	}
	v.Set(reflect.ValueOf(h))
	return nil
}

// appendHeader writes the number of names and of all values, then each name with
// its values.
func appendHeader(b []byte, h http.Header) []byte {
	values := 0
	for _, list := range h {
		values += len(list)
	}
	b = binary.AppendUvarint(b, uint64(len(h)))
	b = binary.AppendUvarint(b, uint64(values))
	for name, list := range h {
		b = appendText(b, name)
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, value := range list {
			b = appendText(b, value)
		}
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// parseHeader is the inverse of appendHeader. All texts share the memory of s, and
// all lists of values one array.
func parseHeader(s string) (http.Header, error) {
	r := headerReader{left: s}
	names, values := r.number(), r.number()
	// Each name and value takes a byte at least: no count may ask for more memory
	// than the message has.
	if names > len(r.left) || values > len(r.left) {
		return nil, errHeader
	}
	h := make(http.Header, names)
	all := make([]string, 0, values)
	for range names {
		name, n := r.text(), r.number()
		if n > values-len(all) {
			return nil, errHeader
		}
		first := len(all)
		for range n {
			all = append(all, r.text())
		}
		h[name] = all[first:len(all):len(all)]
	}
	if r.broken || r.left != "" || len(all) != values {
		return nil, errHeader
	}
	return h, nil
}

// headerReader reads from the front of left. After the first error it is broken
// and all it returns is zero.
type headerReader struct {
	left   string
	broken bool
}

func (r *headerReader) number() int {
	var value uint64
	for i := 0; i < len(r.left) && i < binary.MaxVarintLen32; i++ {
		c := r.left[i]
		value |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			r.left = r.left[i+1:]
			return int(value)
		}
	}
	r.broken, r.left = true, ""
	return 0
}

func (r *headerReader) text() string {
	n := r.number()
	if n > len(r.left) {
		r.broken, r.left = true, ""
		return ""
	}
	text := r.left[:n]
	r.left = r.left[n:]
	return text
}
