package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Figures of the front.
const (
	// minTimeLeft is the time below which nothing is sent any more: the answer
	// would arrive late.
	minTimeLeft = 5 * time.Millisecond
	// maxMoveWait is how long a request waits at most for a key that changes its
	// owner: the work on the key at the old owner ends, then the new one gets it.
	maxMoveWait = 500 * time.Millisecond
	// responseMargin is how much earlier than the caller's time ends it gets its
	// answer: the way back takes about 3 ms.
	responseMargin = 10 * time.Millisecond
	// lostOwnerRetryDivisor is the part of its time after which a caller may retry for a
	// key whose owner is lost. The key is back within a hold and about a second;
	// callers wait no longer than this part.
	lostOwnerRetryDivisor = 3
	// misdirectedPause is the wait after a target said that it does not hold the
	// key, unless an update of the leases arrives first.
	misdirectedPause = 150 * time.Millisecond
	// maxConnectFailures bounds the targets that could not be connected to.
	maxConnectFailures = 4
	// unconfiguredRetryAfter is when a caller may retry at a VM that knows no
	// configuration yet.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// retry: a full target has a free place after about a service time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// immediateRetryAfter is when a caller may retry whom a target with free slots refused, or
	// a VM that leaves: at once, but for the time that a new connection takes anyway.
	immediateRetryAfter = 10 * time.Millisecond
	// maxCrashedTargets is how many targets a request may have ended before it is
	// refused. With two, a popular request that ran on two targets that ended for
	// another reason would be refused everywhere.
	maxCrashedTargets = 3
)

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := g.state.view.Load()
	if view.Routes == nil {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: unconfiguredRetryAfter})
		return
	}
	rt, spread := view.Routes.Find(r.Host, pathOf(r.RequestURI))
	if rt == nil {
		g.refuse(w, r, outcome{status: http.StatusNotFound, reason: "no route"})
		return
	}
	if rt.Unusable != "" {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "route not understood", retryAfter: maxRetryAfter})
		return
	}
	c := g.newCall(r, rt, spread.Next())
	defer c.body.release()
	if bad := g.readBody(c, w, r, view.Routes.Config().Limits.BodyBytes); bad != nil {
		g.refuse(w, r, *bad)
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
	out := g.forward(r.Context(), c)
	g.logCall(c, out)
	g.respond(w, r, out)
}

// pathOf returns the path of a request target as it stands on the wire.
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

// respond writes what the caller gets.
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

// refuse writes an answer of our own.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, out outcome) {
	g.counters.count(out)
	if out.status == 0 {
		// The caller is gone; nothing that looks like an answer may be sent.
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
