package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// call is one request of a caller in flight.
type call struct {
	id      string
	route   *route.Route
	service string
	keyed   bool
	key     uint16
	content uint64
	request *upstream.Request
	body    heldBody
	start   time.Time
	until   time.Time

	tried    map[string]bool
	unsent   int
	arrivals int
	// ran counts the targets that may have run the request.
	ran int
	// failed is how the last arrival failed, misdirected by which version of the leases it was
	// sent where its target did not hold the key.
	failed      cause
	misdirected mesh.LeaseVersion
	// last is an answer without success that stands if nothing better comes.
	last   *upstream.Answer
	trace  []string
	waited time.Duration
	// shedFree says that the last target refused it while it had a free slot.
	shedFree bool
	// refusedOn is what the last refusal of a target was decided on, decidedOn what a refusal
	// for another reason was: the budget of repeats, or the grantor.
	refusedOn, decidedOn string
}

// answered is the reason of an outcome that is the answer of the request's target.
const answered = "answered"

// outcome is what the caller gets.
type outcome struct {
	answer *upstream.Answer
	status int
	reason string
	retry  time.Duration
}

func (g *Gateway) newCall(r *http.Request, rt *route.Route, service string) *call {
	now := time.Now()
	c := &call{
		id: r.Header.Get(g.headers.RequestID), route: rt, service: service,
		start: now, tried: make(map[string]bool), body: heldBody{room: g.bodies},
	}
	wait := rt.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(g.headers.DeadlineMs), 64); err == nil && ms >= 0 && ms < float64(wait.Milliseconds()) {
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	c.until = now.Add(wait - answerMargin)
	c.request = &upstream.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: forwarded(r.Header, g.headers), ID: c.id, IDHeader: g.headers.RequestID,
	}
	return c
}

// note adds an attempt to the trace that the log line shows.
func (c *call) note(e *attempt, took time.Duration, a *upstream.Answer, err error) {
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

// promises reports whether callers take a status for "has not run".
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
