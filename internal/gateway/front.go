package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// Figures of the front.
const (
	// leastLeft is the time below which nothing is sent any more: the answer
	// could not come back in time.
	leastLeft = 5 * time.Millisecond
	// movingWait is how long a request waits at most for a key that changes its
	// owner: the work on the key at the old owner ends, then the new one gets it.
	movingWait = 500 * time.Millisecond
	// answerMargin is how much earlier than the caller's time ends it gets its
	// answer: the way back takes about 3 ms.
	answerMargin = 10 * time.Millisecond
	// lostRetry is the part of its time after which a caller may come back for a
	// key whose owner is lost. The key is back within a hold and about a second;
	// callers wait no longer than this part.
	lostRetry = 3
	// misdirectedPause is the wait after a target said that it does not hold the
	// key, unless news of the leases come first.
	misdirectedPause = 150 * time.Millisecond
	// unsentMost bounds the targets that could not be connected to.
	unsentMost = 4
	// defaultBody bounds a request's body where the configuration does not.
	defaultBody = 1 << 20
	// unconfiguredRetry is when a caller may come back to a VM that knows no
	// configuration yet.
	unconfiguredRetry = 500 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a refused caller may
	// come back: a full target has a free place after about a service time.
	leastRetry = 50 * time.Millisecond
	mostRetry  = time.Second
	// crashLimit is how many targets a request may have ended before it is
	// refused.
	crashLimit = 2
)

// call is one request of a caller on its way.
type call struct {
	id      string
	route   *route.Route
	service string
	keyed   bool
	key     uint16
	content uint64
	request *upstream.Request
	start   time.Time
	until   time.Time

	tried    map[string]bool
	unsent   int
	arrivals int
	// ran counts the targets that may have run the request.
	ran int
	// last is an answer without success that stands if nothing better comes.
	last   *upstream.Answer
	trace  []string
	waited time.Duration
	// refusedOn tells what the last refusal of a target was decided on.
	refusedOn string
}

// outcome is what the caller gets.
type outcome struct {
	answer *upstream.Answer
	status int
	reason string
	retry  time.Duration
}

// ServeHTTP answers one request of a caller.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	view := n.state.view.Load()
	if view.Routes == nil {
		n.refuse(w, r, outcome{status: http.StatusServiceUnavailable, reason: "no configuration yet", retry: unconfiguredRetry})
		return
	}
	rt, spread := view.Routes.Find(r.Host, pathOf(r.RequestURI))
	if rt == nil {
		n.refuse(w, r, outcome{status: http.StatusNotFound, reason: "no route"})
		return
	}
	c := n.newCall(r, rt, spread.Next())
	if bad := n.readBody(c, w, r, view.Routes.Config().Limits.BodyBytes); bad != nil {
		n.refuse(w, r, *bad)
		return
	}
	if svc, ok := view.Routes.Config().Services[c.service]; ok && svc.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(n.headers.Key), 10, 16)
		if err != nil {
			n.refuse(w, r, outcome{status: http.StatusBadRequest, reason: "key missing or unreadable"})
			return
		}
		c.keyed, c.key = true, uint16(key)
		n.state.countKey(c.service, c.key)
	}
	n.state.request(c.service, n.clock.Now())
	out := n.run(r.Context(), c)
	n.logCall(c, out)
	n.respond(w, r, out)
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

func (n *node) newCall(r *http.Request, rt *route.Route, service string) *call {
	now := time.Now()
	c := &call{
		id: r.Header.Get(n.headers.RequestID), route: rt, service: service,
		start: now, tried: make(map[string]bool),
	}
	wait := rt.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(n.headers.DeadlineMs), 64); err == nil && ms >= 0 && ms < float64(wait.Milliseconds()) {
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	c.until = now.Add(wait - answerMargin)
	c.request = &upstream.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: forwarded(r.Header, n.headers), ID: c.id, IDHeader: n.headers.RequestID,
	}
	return c
}

// readBody takes in the whole body: what has not come whole is not passed on.
func (n *node) readBody(c *call, w http.ResponseWriter, r *http.Request, limit int64) *outcome {
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &outcome{status: http.StatusRequestEntityTooLarge, reason: "body over the limit"}
	case err != nil:
		return &outcome{status: http.StatusBadRequest, reason: "body not readable"}
	}
	c.request.Body = body
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n" + r.Header.Get(n.headers.Key) + "\n")
	_, _ = digest.Write(body)
	c.content = digest.Sum64()
	return nil
}

// run sends the request until there is an answer, or a reason to give up.
func (n *node) run(ctx context.Context, c *call) outcome {
	for {
		left := time.Until(c.until)
		if left < leastLeft {
			return c.timeOver()
		}
		if n.state.crashing(c.content, n.mesh) {
			return c.giveUp("request ends the targets that run it", mostRetry)
		}
		e, why := n.choose(c, left)
		if why == refusedMoving && n.await(ctx, c, movingWait) {
			continue
		}
		if why == refusedLost {
			return c.giveUp(string(why), left/lostRetry)
		}
		if e == nil {
			return c.giveUp(string(why), n.retryAfter(c))
		}
		if c.arrivals > 0 && !n.state.repeat(c.service, n.mesh.Size(), n.clock.Now()) {
			n.state.finish(e, endLeft)
			return c.giveUp("no repeats left", n.retryAfter(c))
		}
		if out := n.attempt(ctx, c, e, left); out != nil {
			return *out
		}
		if c.ran >= max(c.route.MaxTargets, 1) || c.arrivals > c.route.MaxTargets+1 || c.unsent > unsentMost {
			return c.giveUp("attempts used up", n.retryAfter(c))
		}
	}
}

func (n *node) choose(c *call, left time.Duration) (*errand, refusal) {
	if c.keyed {
		e, why, about := n.state.chooseOwner(c.service, c.route.Name, c.key, left)
		c.refusedOn = about
		return e, why
	}
	return n.state.chooseFromPool(c.service, c.route, c.tried, left, n.clock.Now())
}

// await waits for news of leases or targets and tells whether to look again.
func (n *node) await(ctx context.Context, c *call, most time.Duration) bool {
	left := min(most-c.waited, time.Until(c.until)-leastLeft)
	if left <= 0 {
		return false
	}
	n.state.mu.Lock()
	changed := n.state.changed
	n.state.mu.Unlock()
	begin := time.Now()
	defer func() { c.waited += time.Since(begin) }()
	timer := time.NewTimer(min(left, misdirectedPause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// attempt sends the request to one target. It returns nil where another attempt
// may follow.
func (n *node) attempt(ctx context.Context, c *call, e *errand, left time.Duration) *outcome {
	c.request.Header.Set(n.headers.TargetID, e.id)
	c.request.Header.Set(n.headers.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	sendCtx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	answer, err := e.pool.Exchange(sendCtx, c.request, upstream.AnyConn)
	took := time.Since(e.sent)
	c.note(e, took, answer, err)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		n.state.finish(e, endLost)
		c.tried[e.id] = true
		c.unsent++
		if c.keyed {
			n.await(ctx, c, movingWait)
		}
		return nil
	case err != nil:
		return n.lost(ctx, c, e)
	case n.headers.notRun(answer):
		return n.notRun(ctx, c, e, answer)
	}
	c.arrivals++
	c.ran++
	if answer.Status < http.StatusInternalServerError {
		n.state.finish(e, endAnswered)
		n.state.harmless(c.content)
		return &outcome{answer: answer, status: answer.Status, reason: "answered"}
	}
	n.state.finish(e, endFailed)
	c.tried[e.id] = true
	c.last = answer
	if !c.route.Idempotent || answer.Status == http.StatusGatewayTimeout {
		out := c.giveUp("target failed", 0)
		return &out
	}
	return nil
}

// lost takes in that the answer is lost: the request may have run.
func (n *node) lost(ctx context.Context, c *call, e *errand) *outcome {
	c.arrivals++
	c.ran++
	if ctx.Err() != nil {
		n.state.finish(e, endLeft)
		return &outcome{status: 0, reason: "caller left"}
	}
	if time.Until(c.until) < leastLeft {
		n.state.finish(e, endLeft)
		out := c.timeOver()
		return &out
	}
	n.state.finish(e, endLost)
	go n.checkCrash(c.content, e)
	c.tried[e.id] = true
	if !c.route.Idempotent {
		out := c.giveUp("answer lost", 0)
		return &out
	}
	return nil
}

// notRun takes in that the target has refused the request.
func (n *node) notRun(ctx context.Context, c *call, e *errand, a *upstream.Answer) *outcome {
	c.arrivals++
	if n.headers.another(a, e.id) {
		n.state.displaced(e)
	}
	if a.Status == http.StatusMisdirectedRequest && c.keyed {
		n.state.finish(e, endLeft)
		if !n.await(ctx, c, movingWait) {
			out := c.giveUp(string(refusedMoving), n.retryAfter(c))
			return &out
		}
		return nil
	}
	n.state.finish(e, endFailed)
	c.tried[e.id] = true
	if c.keyed {
		out := c.giveUp("owner is full", n.retryAfter(c))
		return &out
	}
	return nil
}

// note adds an attempt to the trace that the log line shows.
func (c *call) note(e *errand, took time.Duration, a *upstream.Answer, err error) {
	how := "answered"
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		how = "unsent: " + rootCause(err)
	case err != nil:
		how = "lost: " + rootCause(err)
	default:
		how = strconv.Itoa(a.Status)
	}
	c.trace = append(c.trace, fmt.Sprintf("%s load %d expected %dms took %dms %s", e.id, e.load, e.expected.Milliseconds(), took.Milliseconds(), how))
}

func rootCause(err error) string {
	for {
		if many, ok := err.(interface{ Unwrap() []error }); ok {
			list := many.Unwrap()
			err = list[len(list)-1]
			continue
		}
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// giveUp ends a request. What surely has not run is refused with a promise; of
// anything else nothing is said.
func (c *call) giveUp(reason string, retry time.Duration) outcome {
	switch {
	case c.ran == 0:
		return outcome{status: http.StatusServiceUnavailable, reason: reason, retry: retry}
	case c.last != nil && !promises(c.last.Status):
		return outcome{answer: c.last, status: c.last.Status, reason: reason}
	}
	return outcome{status: http.StatusBadGateway, reason: reason}
}

// promises tells whether callers take a status for "has not run".
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (c *call) timeOver() outcome {
	if c.ran == 0 {
		return outcome{status: http.StatusServiceUnavailable, reason: "time over before it was sent", retry: leastRetry}
	}
	if c.last != nil && !promises(c.last.Status) {
		return outcome{answer: c.last, status: c.last.Status, reason: "time over"}
	}
	return outcome{status: http.StatusGatewayTimeout, reason: "time over"}
}

// retryAfter returns when a place should be free.
func (n *node) retryAfter(c *call) time.Duration {
	n.state.mu.Lock()
	usual := n.state.usualLocked(c.service, c.route.Name)
	n.state.mu.Unlock()
	return min(max(usual, leastRetry), mostRetry)
}

// respond writes what the caller gets.
func (n *node) respond(w http.ResponseWriter, r *http.Request, out outcome) {
	if out.answer == nil {
		n.refuse(w, r, out)
		return
	}
	h := w.Header()
	copyAnswer(h, out.answer.Header)
	if r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(out.answer.Body)))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	w.WriteHeader(out.answer.Status)
	if _, err := w.Write(out.answer.Body); err != nil {
		n.counters.unread.Inc(1)
	}
}

// refuse writes an answer of our own.
func (n *node) refuse(w http.ResponseWriter, r *http.Request, out outcome) {
	n.counters.count(out)
	if out.status == 0 {
		// The caller is gone; nothing that looks like an answer may be sent.
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	if id := r.Header.Get(n.headers.RequestID); id != "" {
		h.Set(n.headers.RequestID, id)
	}
	if out.retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(out.retry.Seconds()*1000)/1000, 'f', -1, 64))
	}
	http.Error(w, out.reason, out.status)
}
