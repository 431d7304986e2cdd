package gateway

import (
	"net/http"

	"hemlockquay/internal/hopbyhop"
)

// forwardedHeaders returns the caller's headers for the request to a target. Headers that the
// gateway sets itself are left out, so that a caller cannot choose its target.
func forwardedHeaders(in http.Header, names Headers) http.Header {
	out := in.Clone()
	hopbyhop.RemoveHeaders(out)
	for _, name := range []string{"Content-Length", "Expect", "Host", names.TargetID, names.DeadlineMs} {
		out.Del(name)
	}
	return out
}

// copyResponseHeaders copies the headers of a target's response to the response for the caller.
func copyResponseHeaders(out, in http.Header) {
	hopbyhop.RemoveHeaders(in)
	closing := out.Get("Connection")
	for name, values := range in {
		out[name] = values
	}
	out.Del("Content-Length")
	if closing != "" {
		out.Set("Connection", closing)
	}
}
