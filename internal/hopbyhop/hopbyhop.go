// Package hopbyhop drops the headers that concern one connection only (RFC 9110, section
// 7.6.1). A proxy that passed them on would let either end speak for the connection of the
// other.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// headers in canonical form.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Drop deletes the headers that concern one connection, and those that Connection names.
// The lists of values stay as they are.
func Drop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range headers {
		delete(h, name)
	}
}
