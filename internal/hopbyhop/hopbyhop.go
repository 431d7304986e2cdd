// Package hopbyhop removes hop-by-hop headers, which apply to a single connection (RFC 9110,
// section 7.6.1). If a proxy forwarded them, the client could control the connection between
// the proxy and the server, and the server the one between the proxy and the client.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// headers are the hop-by-hop headers in canonical form.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHeaders deletes the hop-by-hop headers, and those that the header Connection names, from h.
// It does not modify the value slices of h, which other maps may share.
func RemoveHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range headers {
		delete(h, name)
	}
}
