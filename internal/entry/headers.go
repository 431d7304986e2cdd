package entry

import (
	"maps"
	"net/http"
	"strings"

	"hemlockquay/internal/hopbyhop"
)

// internalHeaderPrefix marks headers between the system's parts; a caller must not be able
// to forge a grant's rank.
const internalHeaderPrefix = "Hq-"

// forwardedHeaders returns the headers that concern the other end. The caller's token
// stays here: a target has no use for it.
func forwardedHeaders(in http.Header) http.Header {
	out := endToEndHeaders(in)
	delete(out, headerAuthorization)
	for name := range out {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// endToEndHeaders returns the headers without the hop-by-hop ones and those that Connection
// names. The lists of values are shared with in; neither side may change them.
func endToEndHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in))
	maps.Copy(out, in)
	hopbyhop.Drop(out)
	// The entry has the whole body before it sends.
	delete(out, "Expect")
	delete(out, "Content-Length")
	return out
}
