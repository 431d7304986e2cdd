package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/pipeline"
)

// Timeouts and limits of request handling.
const (
	// minTimeLeft is the remaining time below which a request is no longer sent to a target,
	// because the response would arrive too late.
	minTimeLeft = 5 * time.Millisecond
	// maxMoveWait bounds how long a request waits for a key that is moving to another owner. The
	// old owner finishes its work on the key before the new one gets it.
	maxMoveWait = 500 * time.Millisecond
	// responseMargin is how long before the caller's deadline it gets a response. The way back
	// takes about 3 ms.
	responseMargin = 10 * time.Millisecond
	// lostOwnerRetryDivisor divides the remaining time of a request to get its Retry-After if the
	// owner of its key is lost. The key is served again after the hold time and about one second;
	// the caller is not asked to wait longer than this fraction of its time.
	lostOwnerRetryDivisor = 3
	// misdirectedPause is how long a request waits after a target said that it does not hold the
	// key, unless an update of the leases arrives earlier.
	misdirectedPause = 150 * time.Millisecond
	// maxConnectFailures bounds the failed connection attempts of one request.
	maxConnectFailures = 4
	// unconfiguredRetryAfter is the Retry-After while the VM has no configuration, or may have an outdated one.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Retry-After. A full target has a free slot after about
	// one service time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// immediateRetryAfter is the Retry-After if a target with free slots refused the request, or
	// if this VM is shutting down. The caller may retry at once; a new connection takes about as
	// long.
	immediateRetryAfter = 10 * time.Millisecond
	// maxCrashedTargets is the number of crashed targets from which a request is refused. With
	// two, a frequent request that was running on two targets which crashed for another reason
	// would be refused everywhere.
	maxCrashedTargets = 3
)

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := g.state.view.Load()
	if view.Routes == nil {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: unconfiguredRetryAfter})
		return
	}
	rt, spread := view.Routes.Find(r.Host, pathOf(r.RequestURI))
	if rt == nil {
		out := outcome{status: http.StatusNotFound, reason: "no route"}
		if g.configMayBeOutdated(view.ConfigVersion()) {
			// Callers do not repeat a request after 404.
			out = outcome{status: http.StatusServiceUnavailable, reason: "route not known and configuration not confirmed", retryAfter: unconfiguredRetryAfter}
		}
		g.logNoRoute(r, view, out)
		g.refuse(w, r, out)
		return
	}
	if rt.Unusable != "" {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "route not understood", retryAfter: maxRetryAfter})
		return
	}
	if !rt.Idempotent && !pipeline.AwaitTurn(r.Context()) {
		g.refuse(w, r, outcome{reason: reasonCallerLeft})
		return
	}
	c := g.newCall(r, rt, spread.Next())
	defer c.release()
	if rejected := g.readBody(c, w, r, view.Routes.Config().Limits.BodyBytes); rejected != nil {
		g.refuse(w, r, *rejected)
		return
	}
	if svc, ok := view.Routes.Config().Services[c.service]; ok && svc.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(g.headers.Key), 10, 16)
		if err != nil {
			g.refuse(w, r, outcome{status: http.StatusBadRequest, reason: "key missing or unreadable"})
			return
		}
		c.keyed, c.key = true, uint16(key)
		g.state.countKey(c.service, c.key)
	}
	g.state.recordRequest(c.service, rt.Priority, g.clock.Now())
	out := g.forward(caller.WithExpiry(r.Context(), g.clock, c.expires), c)
	g.logCall(c, out)
	g.respond(w, r, out)
}

// pathOf returns the path of a request target as it was received.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	if rest, ok := strings.CutPrefix(path, "http://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
		return "/"
	}
	return path
}

// respond writes the outcome of a call.
func (g *Gateway) respond(w http.ResponseWriter, r *http.Request, out outcome) {
	if out.response == nil {
		g.refuse(w, r, out)
		return
	}
	h := w.Header()
	copyResponseHeaders(h, out.response.Header)
	g.closeConnectionIfLeaving(h)
	if r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(out.response.Body)))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	w.WriteHeader(out.response.Status)
	if _, err := w.Write(out.response.Body); err != nil {
		g.counters.undelivered.Inc(1)
	}
}

// refuse writes a response of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, out outcome) {
	g.counters.count(out)
	if out.status == 0 {
		// The caller has disconnected. The connection is aborted so that nothing looks like a
		// response.
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	g.closeConnectionIfLeaving(h)
	if id := r.Header.Get(g.headers.RequestID); id != "" {
		h.Set(g.headers.RequestID, id)
	}
	if out.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(out.retryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	}
	http.Error(w, out.reason, out.status)
}
