package entry

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// Request headers that callers set.
const (
	headerKey            = "Hq-Key"
	headerDeadline       = "Hq-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Hq-Idempotent"
	headerAuthorization  = "Authorization"
	bearer               = "Bearer "
)

// stepParse is the step that refusals report while a request is parsed.
const stepParse = "parse"

// maxKeyBytes is the maximum length of a key, an idempotency key or another header that
// singleHeader reads.
const maxKeyBytes = 1024

// requestParser validates callers' requests. It refuses ambiguous ones: a guess at a key or a
// deadline would send the request to the wrong owner.
type requestParser struct{ vm string }

// parsedRequest is a caller's request with the service and contract that apply to it.
type parsedRequest struct {
	service     *model.Service
	contract    *model.Contract
	allowance   model.Allowance
	wireRequest *wire.Request
	deadline    time.Time
	// expires is deadline on the clock that counts the time for which the VM was suspended.
	expires time.Duration
}

func (rp *requestParser) refuse(kind problem.Kind, format string, args ...any) *problem.Error {
	return problem.Refuse(kind, stepParse, rp.vm, fmt.Sprintf(format, args...))
}

// parse parses and checks everything but the body.
func (rp *requestParser) parse(v *view.View, r *http.Request, now time.Time) (*parsedRequest, *problem.Error) {
	if r.Method == http.MethodConnect {
		return nil, rp.refuse(problem.BadRequest, "CONNECT asks for a tunnel, and there are none")
	}
	service, path, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		return nil, rp.refuse(problem.UnknownService, "paths begin with /s/SERVICE/")
	}
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		path += "?" + r.URL.RawQuery
	}
	return rp.parseHeaders(v, service, path, r, now)
}

// splitPath splits an escaped path into the service of /s/SERVICE and the rest, which stays as
// the caller wrote it. If the unescaped path were split instead, a rest that begins with "%2F" or
// "@" would be joined to the target's address and send the request to an address of the caller's
// choice.
func splitPath(escaped string) (service, rest string, ok bool) {
	tail, ok := strings.CutPrefix(escaped, "/s/")
	if !ok {
		return "", "", false
	}
	segment, _, ok := strings.Cut(tail, "/")
	if !ok {
		return "", "", false
	}
	service, err := url.PathUnescape(segment)
	return service, tail[len(segment):], err == nil
}

// parseHeaders checks the token, the contract and the service, and reads the other headers.
func (rp *requestParser) parseHeaders(v *view.View, service, path string, r *http.Request, now time.Time) (*parsedRequest, *problem.Error) {
	token, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer)
	if !ok || token == "" || len(r.Header.Values(headerAuthorization)) > 1 {
		return nil, rp.refuse(problem.UnknownToken, "one bearer token is required")
	}
	contract := v.ContractOf(token)
	if contract == nil {
		return nil, rp.refuse(problem.UnknownToken, "the token belongs to no contract")
	}
	s := v.Service(service)
	if s == nil {
		return nil, rp.refuse(problem.UnknownService, "no service %q", service)
	}
	allowance, ok := contract.Allowance(service)
	switch {
	case !ok:
		return nil, rp.refuse(problem.OutsideContract, "customer %s has no contract for %s", contract.Customer, service)
	case contract.End.Passed(now):
		return nil, rp.refuse(problem.OutsideContract, "the contract ended on %s", contract.End)
	case s.Shutdown.Passed(now):
		return nil, rp.refuse(problem.OutsideContract, "the service ended on %s", s.Shutdown)
	}
	request := &wire.Request{
		Service: service, Customer: contract.Customer, Class: allowance.Class, Weight: allowance.Weight,
		Method: r.Method, Path: path,
	}
	if p := rp.readRequestOptions(s, r, request); p != nil {
		return nil, p
	}
	request.Header = forwardedHeaders(r.Header)
	return &parsedRequest{service: s, contract: contract, allowance: allowance, wireRequest: request, deadline: now.Add(request.Budget)}, nil
}

func (rp *requestParser) readRequestOptions(s *model.Service, r *http.Request, out *wire.Request) *problem.Error {
	var p *problem.Error
	if out.Key, p = rp.singleHeader(r, headerKey); p != nil {
		return p
	}
	if s.Keyed && out.Key == "" {
		return rp.refuse(problem.BadRequest, "service %s needs the header %s", s.Name, headerKey)
	}
	if out.IdempotencyKey, p = rp.singleHeader(r, headerIdempotencyKey); p != nil {
		return p
	}
	if out.Budget, p = rp.budget(s, r); p != nil {
		return p
	}
	out.Idempotent, p = rp.idempotent(r)
	return p
}

// singleHeader returns the value of a header that may occur only once, "" if it is absent.
func (rp *requestParser) singleHeader(r *http.Request, name string) (string, *problem.Error) {
	values := r.Header.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", rp.refuse(problem.BadRequest, "header %s stands %d times", name, len(values))
	case values[0] == "" || len(values[0]) > maxKeyBytes:
		return "", rp.refuse(problem.BadRequest, "header %s is empty or over %d bytes", name, maxKeyBytes)
	}
	return values[0], nil
}

func (rp *requestParser) budget(s *model.Service, r *http.Request) (time.Duration, *problem.Error) {
	text, p := rp.singleHeader(r, headerDeadline)
	if p != nil {
		return 0, p
	}
	if text == "" {
		return s.Deadline.D(), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, rp.refuse(problem.BadRequest, "header %s: %q is not a number of milliseconds above 0", headerDeadline, text)
	}
	return min(time.Duration(ms)*time.Millisecond, s.MaxDeadline.D()), nil
}

func (rp *requestParser) idempotent(r *http.Request) (bool, *problem.Error) {
	text, p := rp.singleHeader(r, headerIdempotent)
	if p != nil {
		return false, p
	}
	switch text {
	case "":
		return idempotentMethod(r.Method), nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, rp.refuse(problem.BadRequest, "header %s: %q is neither true nor false", headerIdempotent, text)
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// readBody reads the whole body into held. It refuses a body over the limit, or without memory, before it has read all of it.
func (rp *requestParser) readBody(w http.ResponseWriter, r *http.Request, req *parsedRequest, held *budget.Reader) *problem.Error {
	limit := req.service.MaxBody
	if r.ContentLength > limit {
		return rp.refuse(problem.TooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	held.In = http.MaxBytesReader(w, r.Body, limit)
	body, err := wire.ReadAll(held, r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rp.refuse(problem.TooLarge, "the body is over the limit of %d bytes", limit)
	}
	if errors.Is(err, budget.ErrNoMemory) {
		return rp.refuse(problem.Full, "%v", err).WithRetryAfter(time.Second)
	}
	if err != nil {
		return rp.refuse(problem.BadRequest, "the body did not come whole: %v", err)
	}
	req.wireRequest.Body = body
	req.wireRequest.Sum = wire.Sum(body)
	return nil
}
