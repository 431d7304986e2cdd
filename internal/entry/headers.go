package entry

import (
	"maps"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers of RFC 9110 section 7.6.1 that concern one
// connection only, in canonical form, and Expect: the entry has the whole body before it sends.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

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
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
