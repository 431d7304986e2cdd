package entry

import (
	"maps"
	"net/http"
	"strings"

	"hemlockquay/internal/hopbyhop"
)

// internalHeaderPrefix is the prefix of the headers that the system's processes and the targets
// exchange. Callers' headers with this prefix are dropped, so that none can forge a grant's rank.
const internalHeaderPrefix = "Hq-"

// forwardedHeaders returns the headers of a caller's request that are sent to the target. The
// caller's token is dropped, since a target has no use for it.
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
// names. The result shares its lists of values with in; they must not be modified.
func endToEndHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in))
	maps.Copy(out, in)
	hopbyhop.RemoveHeaders(out)
	// Bodies are read completely before they are passed on, so these two no longer apply.
	delete(out, "Expect")
	delete(out, "Content-Length")
	return out
}
