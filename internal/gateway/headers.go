package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// perConnection are the headers that concern only one connection.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded returns the caller's headers as they go to a target. What the
// gateway sets itself is left out, so that a caller cannot choose its target.
func forwarded(in http.Header, names Headers) http.Header {
	out := in.Clone()
	dropNamed(out)
	for _, name := range []string{"Content-Length", "Expect", "Host", names.TargetID, names.DeadlineMs} {
		out.Del(name)
	}
	return out
}

// copyAnswer copies the headers of a target's answer for the caller.
func copyAnswer(out, in http.Header) {
	dropNamed(in)
	closing := out.Get("Connection")
	for name, values := range in {
		out[name] = values
	}
	out.Del("Content-Length")
	if closing != "" {
		out.Set("Connection", closing)
	}
}

func dropNamed(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range perConnection {
		h.Del(name)
	}
}
