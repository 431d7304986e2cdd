package dispatch

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/wire"
)

// idempotencyFingerprint returns a hash by which a repeat with the same
// Idempotency-Key is recognised as the same request. It covers service, method,
// path, key and body, but not the headers, which may differ between a caller's
// repeats.
func idempotencyFingerprint(r *wire.Request) uint64 {
	d := xxhash.New()
	writeParts(d, r.Service, r.Method, r.Path, r.Key)
	writeUint64(d, r.Sum)
	return d.Sum64()
}

// crashFingerprint returns a hash that identifies a request that may crash targets.
// It covers service, method, path, key, headers and body. The customer is left out,
// since a request that crashes a target for one caller does so for another too.
// Headers that differ each time the same request is sent are left out as well.
func crashFingerprint(r *wire.Request) uint64 {
	d := xxhash.New()
	writeParts(d, r.Service, r.Method, r.Path, r.Key)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		if !isPerSendHeader(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		writeParts(d, name)
		writeParts(d, r.Header[name]...)
	}
	writeUint64(d, r.Sum)
	return d.Sum64()
}

// perSendHeaders are headers that differ each time the same request is sent.
var perSendHeaders = []string{"Date", "Traceparent", "Tracestate", "Baggage", "Idempotency-Key", "X-Request-Start"}

func isPerSendHeader(header string) bool {
	return strings.HasSuffix(header, "-Id") || slices.Contains(perSendHeaders, header)
}

// writeParts writes each part with its length, so that ("ab", "c") and ("a", "bc")
// give different hashes.
func writeParts(d *xxhash.Digest, parts ...string) {
	for _, p := range parts {
		writeUint64(d, uint64(len(p)))
		_, _ = d.WriteString(p)
	}
}

func writeUint64(d *xxhash.Digest, sum uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], sum)
	_, _ = d.Write(b[:])
}
