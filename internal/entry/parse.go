package entry

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// Headers of callers.
const (
	headerKey            = "Hq-Key"
	headerDeadline       = "Hq-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Hq-Idempotent"
	headerAuthorization  = "Authorization"
	bearer               = "Bearer "
)

// stepParse is the step of refusals while a request is parsed.
const stepParse = "parse"

// maxKey bounds a key or an idempotency key, bytes.
const maxKey = 1024

// door checks what a caller sent. It refuses what is not clear: guessing at a
// key or a deadline would send a request to the wrong owner.
type requestParser struct{ vm string }

// req is a caller's request with what was found out about it.
type parsedRequest struct {
	service   *model.Service
	contract  *model.Contract
	allowance model.Allowance
	request   *wire.Request
	deadline  time.Time
}

func (d *requestParser) refuse(kind problem.Kind, format string, args ...any) *problem.Error {
	return problem.Refuse(kind, stepParse, d.vm, fmt.Sprintf(format, args...))
}

// parse reads everything but the body.
func (d *requestParser) parse(v *view.View, r *http.Request, now time.Time) (*parsedRequest, *problem.Error) {
	if r.Method == http.MethodConnect {
		return nil, d.refuse(problem.BadRequest, "CONNECT asks for a tunnel, and there are none")
	}
	service, path, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		return nil, d.refuse(problem.UnknownService, "paths begin with /s/SERVICE/")
	}
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		path += "?" + r.URL.RawQuery
	}
	return d.check(v, service, path, r, now)
}

// splitPath cuts /s/SERVICE from an escaped path. The rest stays as the caller
// wrote it.
// Cut by the unescaped path, a rest that begins with "%2F" or "@" would join the target's address and
// send the request to an address of the caller's choice.
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

// check reads the headers.
func (d *requestParser) check(v *view.View, service, path string, r *http.Request, now time.Time) (*parsedRequest, *problem.Error) {
	token, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer)
	if !ok || token == "" || len(r.Header.Values(headerAuthorization)) > 1 {
		return nil, d.refuse(problem.UnknownToken, "one bearer token is required")
	}
	contract := v.ContractOf(token)
	if contract == nil {
		return nil, d.refuse(problem.UnknownToken, "the token belongs to no contract")
	}
	s := v.Service(service)
	if s == nil {
		return nil, d.refuse(problem.UnknownService, "no service %q", service)
	}
	allowance, ok := contract.Allowance(service)
	switch {
	case !ok:
		return nil, d.refuse(problem.OutsideContract, "customer %s has no contract for %s", contract.Customer, service)
	case contract.End.Passed(now):
		return nil, d.refuse(problem.OutsideContract, "the contract ended on %s", contract.End)
	case s.Shutdown.Passed(now):
		return nil, d.refuse(problem.OutsideContract, "the service ended on %s", s.Shutdown)
	}
	request := &wire.Request{
		Service: service, Customer: contract.Customer, Class: allowance.Class, Weight: allowance.Weight,
		Method: r.Method, Path: path,
	}
	if p := d.readHeaders(s, r, request); p != nil {
		return nil, p
	}
	request.Header = forwardable(r.Header)
	return &parsedRequest{service: s, contract: contract, allowance: allowance, request: request, deadline: now.Add(request.Budget)}, nil
}

func (d *requestParser) readHeaders(s *model.Service, r *http.Request, out *wire.Request) *problem.Error {
	var p *problem.Error
	if out.Key, p = d.single(r, headerKey); p != nil {
		return p
	}
	if s.Keyed && out.Key == "" {
		return d.refuse(problem.BadRequest, "service %s needs the header %s", s.Name, headerKey)
	}
	if out.IdempotencyKey, p = d.single(r, headerIdempotencyKey); p != nil {
		return p
	}
	if out.Budget, p = d.budget(s, r); p != nil {
		return p
	}
	out.Idempotent, p = d.idempotent(r)
	return p
}

// single returns the only value of a header, or "".
func (d *requestParser) single(r *http.Request, name string) (string, *problem.Error) {
	values := r.Header.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", d.refuse(problem.BadRequest, "header %s stands %d times", name, len(values))
	case values[0] == "" || len(values[0]) > maxKey:
		return "", d.refuse(problem.BadRequest, "header %s is empty or over %d bytes", name, maxKey)
	}
	return values[0], nil
}

func (d *requestParser) budget(s *model.Service, r *http.Request) (time.Duration, *problem.Error) {
	text, p := d.single(r, headerDeadline)
	if p != nil {
		return 0, p
	}
	if text == "" {
		return s.Deadline.D(), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, d.refuse(problem.BadRequest, "header %s: %q is not a number of milliseconds above 0", headerDeadline, text)
	}
	return min(time.Duration(ms)*time.Millisecond, s.MaxDeadline.D()), nil
}

func (d *requestParser) idempotent(r *http.Request) (bool, *problem.Error) {
	text, p := d.single(r, headerIdempotent)
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
	return false, d.refuse(problem.BadRequest, "header %s: %q is neither true nor false", headerIdempotent, text)
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// readBody reads the whole body, refusing one over the limit before reading it
// all.
func (d *requestParser) readBody(w http.ResponseWriter, r *http.Request, req *parsedRequest) *problem.Error {
	limit := req.service.MaxBody
	if r.ContentLength > limit {
		return d.refuse(problem.TooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	body, err := wire.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return d.refuse(problem.TooLarge, "the body is over the limit of %d bytes", limit)
	}
	if err != nil {
		return d.refuse(problem.BadRequest, "the body did not come whole: %v", err)
	}
	req.request.Body = body
	req.request.Sum = wire.Sum(body)
	return nil
}
