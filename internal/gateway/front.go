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
	// leastLeft is the time below which nothing is sent any more: the answer
	// would arrive late.
	leastLeft = 5 * time.Millisecond
	// movingWait is how long a request waits at most for a key that changes its
	// owner: the work on the key at the old owner ends, then the new one gets it.
	movingWait = 500 * time.Millisecond
	// answerMargin is how much earlier than the caller's time ends it gets its
	// answer: the way back takes about 3 ms.
	answerMargin = 10 * time.Millisecond
	// lostRetry is the part of its time after which a caller may retry for a
	// key whose owner is lost. The key is back within a hold and about a second;
	// callers wait no longer than this part.
	lostRetry = 3
	// misdirectedPause is the wait after a target said that it does not hold the
	// key, unless an update of the leases arrives first.
	misdirectedPause = 150 * time.Millisecond
	// unsentMost bounds the targets that could not be connected to.
	unsentMost = 4
	// unconfiguredRetry is when a caller may retry at a VM that knows no
	// configuration yet.
	unconfiguredRetry = 500 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a refused caller may
	// retry: a full target has a free place after about a service time.
	leastRetry = 50 * time.Millisecond
	mostRetry  = time.Second
	// soonRetry is when a caller may retry whom a target with free slots refused, or
	// a VM that leaves: at once, but for the time that a new connection takes anyway.
	soonRetry = 10 * time.Millisecond
	// crashLimit is how many targets a request may have ended before it is
	// refused. With two, a popular request that ran on two targets that ended for
	// another reason would be refused everywhere.
	crashLimit = 3
)

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := g.state.view.Load()
	if view.Routes == nil {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "no configuration yet", retry: unconfiguredRetry})
		return
	}
	rt, spread := view.Routes.Find(r.Host, pathOf(r.RequestURI))
	if rt == nil {
		g.refuse(w, r, outcome{status: http.StatusNotFound, reason: "no route"})
		return
	}
	if rt.Unusable != "" {
		g.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "route not understood", retry: mostRetry})
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
	g.state.request(c.service, rt.Priority, g.clock.Now())
	out := g.run(r.Context(), c)
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
	if out.answer == nil {
		g.refuse(w, r, out)
		return
	}
	h := w.Header()
	copyAnswer(h, out.answer.Header)
	g.closeIfLeaving(h)
	if r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(out.answer.Body)))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	w.WriteHeader(out.answer.Status)
	if _, err := w.Write(out.answer.Body); err != nil {
		g.counters.unread.Inc(1)
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
	g.closeIfLeaving(h)
	if id := r.Header.Get(g.headers.RequestID); id != "" {
		h.Set(g.headers.RequestID, id)
	}
	if out.retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(out.retry.Seconds()*1000)/1000, 'f', -1, 64))
	}
	http.Error(w, out.reason, out.status)
}
