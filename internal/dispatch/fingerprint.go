package dispatch

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/wire"
)

// idempotencyFingerprint reports whether a repeat with the same Idempotency-Key is the same
// request: service, method, path, key and body. Headers may differ between a
// caller's repeats.
func idempotencyFingerprint(r *wire.Request) uint64 {
	d := xxhash.New()
	writeParts(d, r.Service, r.Method, r.Path, r.Key)
	writeUint64(d, r.Sum)
	return d.Sum64()
}

// crashFingerprint names a request that may crash targets: service, method, path, key,
// headers and body. The customer is left out: what kills a target for one caller
// kills it for another. Headers that name the occurrence are left out, since they
// differ between repeats of the same request.
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

// perSendHeaders are headers that differ on each sending of the same request.
var perSendHeaders = []string{"Date", "Traceparent", "Tracestate", "Baggage", "Idempotency-Key", "X-Request-Start"}

func isPerSendHeader(header string) bool {
	return strings.HasSuffix(header, "-Id") || slices.Contains(perSendHeaders, header)
}

// writeParts separates the parts by their length: ("ab", "c") is not ("a", "bc").
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
