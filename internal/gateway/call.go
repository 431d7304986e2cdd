package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pipeline"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// call is a caller's request that is being processed.
type call struct {
	id      string
	route   *route.Route
	service string
	keyed   bool
	key     uint16
	digest  uint64
	// forwarded reports whether another VM has received the request.
	forwarded bool
	request   *upstream.Request
	body      bodyReservation
	start     time.Time
	deadline  time.Time
	// clock counts the time for which the VM was suspended, and expires is deadline on it. Without a clock only deadline counts.
	clock   boottime.Clock
	expires time.Duration
	// unread is how long the head of the request had waited when its time limit was computed.
	unread time.Duration

	// tried holds the IDs of the targets that failed or refused the request.
	tried map[string]bool
	// unreached holds the IDs of the targets to which this VM had no connection for the request.
	unreached       map[string]bool
	connectFailures int
	// overLimit holds the IDs of the targets for which the request got no permit. limitRetryAfter is the
	// Retry-After of its refusal.
	overLimit       map[string]bool
	limitRetryAfter time.Duration
	// place is the request's place at the owner of its key, if the service uses places and it has one. placeRetryAfter is
	// the Retry-After of a request that got none.
	place           *heldPlace
	placeRetryAfter time.Duration
	// delivered is the number of attempts that may have reached a target.
	delivered int
	// possibleRuns is the number of targets that may have run the request.
	possibleRuns int
	// lastFailure says why the last delivered attempt failed. If its target did not hold the key,
	// misdirectedBy is the version of the leases that was used.
	lastFailure   repeatCause
	misdirectedBy mesh.LeaseVersion
	// failedResponse is the response of the last target that ran the request and failed, unless it must be withheld. The caller
	// gets it if no later attempt succeeds.
	failedResponse *upstream.Answer
	// answers are the responses to the request, whose memory is released at its end.
	answers []*upstream.Answer
	trace   []string
	waited  time.Duration
	// unansweredInquiries is the number of inquiries to owners of the key that were not answered.
	unansweredInquiries int
	// waitedForSlot is how long a request with long work has waited for a free slot at the owner of its key.
	waitedForSlot time.Duration
	// refusedWithFreeSlots reports whether the last target refused the request although it had a
	// free slot.
	refusedWithFreeSlots bool
	// For the log: refusedOn holds the inputs of the last decision not to use a target, decidedOn
	// those of a refusal for another reason, which is the repeat budget or the expiry of the
	// leases.
	refusedOn, decidedOn string
}

// reasonAnswered is the reason of an outcome that is the response of a target.
const reasonAnswered = "answered"

// reasonCallerLeft is the reason of an outcome that nobody waits for any more.
const reasonCallerLeft = "caller left"

// outcome is the result of a call: the response of a target, or the status and reason of a
// refusal.
type outcome struct {
	response   *upstream.Answer
	status     int
	reason     string
	retryAfter time.Duration
}

func (g *Gateway) newCall(r *http.Request, rt *route.Route, service string) *call {
	now := time.Now()
	c := &call{
		id: r.Header.Get(g.headers.RequestID), route: rt, service: service,
		start: now, tried: make(map[string]bool), unreached: make(map[string]bool), overLimit: make(map[string]bool), body: bodyReservation{memory: g.bodyMemory},
	}
	timeout := rt.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(g.headers.DeadlineMs), 64); err == nil && ms >= 0 && ms < float64(timeout.Milliseconds()) {
		timeout = time.Duration(ms * float64(time.Millisecond))
	}
	c.unread = pipeline.Waited(r.Context())
	left := timeout - responseMargin - c.unread
	c.deadline, c.clock, c.expires = now.Add(left), g.clock, g.clock.Now()+left
	c.request = &upstream.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: forwardedHeaders(r.Header, g.headers), ID: c.id, IDHeader: g.headers.RequestID,
	}
	return c
}

// timeLeft returns the time until the deadline of the request.
func (c *call) timeLeft() time.Duration {
	left := time.Until(c.deadline)
	if c.clock != nil {
		left = min(left, c.expires-c.clock.Now())
	}
	return left
}

// release returns the memory of the request's body and of the responses to it.
func (c *call) release() {
	c.body.release()
	for _, a := range c.answers {
		a.Release()
	}
}

// recordAttempt appends an attempt to the trace, which is logged with the request.
func (c *call) recordAttempt(a *attempt, took time.Duration, resp *upstream.Answer, err error) {
	result := "answered"
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		result = "unsent: " + rootCause(err)
	case err != nil:
		result = "lost: " + rootCause(err)
	default:
		result = strconv.Itoa(resp.Status)
	}
	through := ""
	if a.peer != "" {
		through = " through " + a.peer
	}
	c.trace = append(c.trace, fmt.Sprintf("%s%s load %d expected %dms took %dms %s", a.id, through, a.load, a.expected.Milliseconds(), took.Milliseconds(), result))
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

// giveUp ends a request without a successful response. The status says that the request has not
// run only if that is certain.
func (c *call) giveUp(reason string, retryAfter time.Duration) outcome {
	switch {
	case c.possibleRuns == 0:
		return outcome{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
	case c.failedResponse != nil:
		return outcome{response: c.failedResponse, status: c.failedResponse.Status, reason: reason}
	}
	return outcome{status: http.StatusBadGateway, reason: reason}
}

func (c *call) timedOut() outcome {
	if c.possibleRuns == 0 {
		return outcome{status: http.StatusServiceUnavailable, reason: "time over before it was sent", retryAfter: minRetryAfter}
	}
	if c.failedResponse != nil {
		return outcome{response: c.failedResponse, status: c.failedResponse.Status, reason: "time over"}
	}
	return outcome{status: http.StatusGatewayTimeout, reason: "time over"}
}
