package entry

import (
	"maps"
	"net/http"
	"strings"

	"hemlockquay/internal/hopbyhop"
)

// ownPrefix marks headers between the system's parts; a caller must not be able
// to forge a grant's rank.
const ownPrefix = "Hq-"

// forwardable returns the headers that concern the other end. The caller's token
// stays here: a target has no use for it.
func forwardable(in http.Header) http.Header {
	out := endToEnd(in)
	delete(out, headerAuthorization)
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	return out
}

// endToEnd returns the headers without the hop-by-hop ones and those that Connection
// names. The lists of values are shared with in; neither side may change them.
func endToEnd(in http.Header) http.Header {
	out := make(http.Header, len(in))
	maps.Copy(out, in)
	hopbyhop.Drop(out)
	// The entry has the whole body before it sends.
	delete(out, "Expect")
	delete(out, "Content-Length")
	return out
}
