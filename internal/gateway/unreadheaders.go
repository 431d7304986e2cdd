package gateway

import (
	"net/http"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

// maxUnreadHeaders bounds the names of response headers that are remembered.
const maxUnreadHeaders = 64

// unreadHeaders are the names of headers of targets' responses that no part of the gateway reads.
type unreadHeaders struct {
	mu    sync.Mutex
	known map[string]bool
	count metrics.Counter
}

func newUnreadHeaders(r metrics.Registry, read []string) *unreadHeaders {
	u := &unreadHeaders{known: make(map[string]bool), count: metrics.GetOrRegisterCounter("answers.headers", r)}
	for _, name := range append(read, "Cache-Control", "Connection", "Content-Length", "Content-Type", "Date", "Etag", "Keep-Alive", "Last-Modified", "Server", "Transfer-Encoding", "Vary") {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
	return u
}

// add returns the names in a response that are seen for the first time.
func (u *unreadHeaders) add(h http.Header) (seen []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range h {
		if !u.known[name] && len(u.known) < maxUnreadHeaders {
			u.known[name] = true
			seen = append(seen, name)
		}
	}
	u.count.Inc(int64(len(seen)))
	return seen
}

// noteHeaders logs the headers of a target's response that are seen for the first time and that nothing reads.
func (g *Gateway) noteHeaders(target string, h http.Header) {
	for _, name := range g.unreadHeaders.add(h) {
		g.log.Info().Str("step", "headers").Str("target", target).Str("header", name).Str("value", h.Get(name)).Msg("targets send a header that is not read")
	}
}
