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

// Headers are encoded as one string of counts, lengths and strings. Encoded by
// reflection as a map they caused half of a call's allocations: two strings, a
// slice and several values of package reflect for each header.

// errMalformedHeaders says that a peer sent headers that cannot be decoded.
var errMalformedHeaders = errors.New("malformed headers")

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

// appendHeader appends the number of names, the number of all values, and then
// each name with its values.
func appendHeader(b []byte, h http.Header) []byte {
	values := 0
	for _, list := range h {
		values += len(list)
	}
	b = binary.AppendUvarint(b, uint64(len(h)))
	b = binary.AppendUvarint(b, uint64(values))
	for name, list := range h {
		b = appendString(b, name)
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, value := range list {
			b = appendString(b, value)
		}
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// parseHeader is the inverse of appendHeader. All names and values share the
// memory of s, and all lists of values are parts of one array.
func parseHeader(s string) (http.Header, error) {
	r := headerParser{rest: s}
	names, values := r.readNumber(), r.readNumber()
	// Each name and value takes at least one byte. A larger count would make the
	// decoder allocate more memory than the message justifies.
	if names > len(r.rest) || values > len(r.rest) {
		return nil, errMalformedHeaders
	}
	h := make(http.Header, names)
	all := make([]string, 0, values)
	for range names {
		name, n := r.readString(), r.readNumber()
		if n > values-len(all) {
			return nil, errMalformedHeaders
		}
		first := len(all)
		for range n {
			all = append(all, r.readString())
		}
		h[name] = all[first:len(all):len(all)]
	}
	if r.failed || r.rest != "" || len(all) != values {
		return nil, errMalformedHeaders
	}
	return h, nil
}

// headerParser reads from the front of rest. After the first error failed is set
// and all results are zero values.
type headerParser struct {
	rest   string
	failed bool
}

func (r *headerParser) readNumber() int {
	var value uint64
	for i := 0; i < len(r.rest) && i < binary.MaxVarintLen32; i++ {
		c := r.rest[i]
		value |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			r.rest = r.rest[i+1:]
			return int(value)
		}
	}
	r.failed, r.rest = true, ""
	return 0
}

func (r *headerParser) readString() string {
	n := r.readNumber()
	if n > len(r.rest) {
		r.failed, r.rest = true, ""
		return ""
	}
	text := r.rest[:n]
	r.rest = r.rest[n:]
	return text
}
