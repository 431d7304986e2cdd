package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/upstream"
	"hemlockquay/internal/wire"
)

// ErrUnsent says that no byte of the request reached the target.
var ErrUnsent = errors.New("not sent")

// ErrTooLarge says that the target's answer is over the limit.
var ErrTooLarge = errors.New("answer over the limit")

// RefusedError says that the target did not run the request.
type RefusedError struct{ Reason Refusal }

// Error names the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Attempt is one sending of a request to a target.
type Attempt struct {
	Request *wire.Request
	Target  model.Target
	// Grant is the ownership under which it is sent; nil where unkeyed.
	Grant *wire.Grant
	// MaxAnswer bounds the answer's body, bytes.
	MaxAnswer int64
	// Deadline is when the caller's patience ends.
	Deadline time.Time
}

// Sender sends requests to targets over a bounded number of connections each.
type Sender struct{ http *http.Client }

// dialTimeout bounds a new connection; within a region it takes about 1 ms.
const dialTimeout = 500 * time.Millisecond

// idleTimeout is how long a warm connection is kept without use.
const idleTimeout = 90 * time.Second

// maxResponseHeaderBytes bounds the headers of an answer, bytes: as much as common
// servers send and no target needs more.
const maxResponseHeaderBytes = 64 << 10

// NewSender returns a sender with at most so many connections to each target.
func NewSender(connections int) *Sender {
	return &Sender{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			// The library's default is 10 MiB, held for every attempt.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// dial opens a connection that is reset at its end. net/http returns the error of a request
// whose context has ended only after its connection is closed, so that nothing of a request
// arrives after its Send has returned without an answer.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return upstream.DialWithReset(ctx, &net.Dialer{Timeout: dialTimeout}, network, addr)
}

// nonRewindableBody returns a body that net/http cannot rewind.
// net/http sends a request again by itself if it can rewind the body, also a POST that has an
// Idempotency-Key header. It still knows that this body is in memory, and sends headers and body in
// one write.
func nonRewindableBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// setBody gives the request its body. An empty one must not be http.NoBody, which
// may be sent again; and net/http would look for its first byte in a goroutine with
// a timer, for each request. Named identity, it is sent as it is: without a length,
// which for methods that rarely have a body means none.
func setBody(req *http.Request, body []byte) {
	req.Body = nonRewindableBody(body)
	req.ContentLength = int64(len(body))
	switch {
	case len(body) > 0:
	case req.Method == http.MethodPost, req.Method == http.MethodPut, req.Method == http.MethodPatch:
		// Servers may want a length or chunks here: it goes as no chunk.
	default:
		req.TransferEncoding = []string{"identity"}
	}
}

// Send sends the attempt once and returns the whole answer. The error is
// ErrUnsent or *RefusedError where the target surely did not run it.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*wire.Answer, error) {
	req, err := buildRequest(ctx, a)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	defer resp.Body.Close()
	if refused := resp.Header.Get(HeaderRefused); refused != "" && resp.Header.Get(problem.Header) == string(problem.RanNo) {
		return nil, &RefusedError{Reason: Refusal(refused)}
	}
	body, err := readBody(resp, a.MaxAnswer)
	if err != nil {
		return nil, err
	}
	return &wire.Answer{
		ID:     a.Request.ID,
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
		Sum:    wire.Sum(body),
		Target: a.Target.Name,
	}, nil
}

// maxAddedHeaders is how many headers a request gets here at the most.
const maxAddedHeaders = 6

func buildRequest(ctx context.Context, a *Attempt) (*http.Request, error) {
	r := a.Request
	if !strings.HasPrefix(r.Path, "/") {
		// It would join the address and choose where the request goes.
		return nil, fmt.Errorf("build request: the path %q does not begin with a slash", r.Path)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Target.Addr+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	setBody(req, r.Body)
	// The lists of values are shared by all attempts; Set puts new ones in place.
	req.Header = make(http.Header, len(r.Header)+maxAddedHeaders)
	maps.Copy(req.Header, r.Header)
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(a.Deadline).Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	if g := a.Grant; g != nil {
		req.Header.Set(HeaderGroup, strconv.FormatUint(g.Group, 10))
		req.Header.Set(HeaderRank, FormatRank(g.Rank))
		req.Header.Set(HeaderIncarnation, g.Target.Incarnation)
	}
	return req, nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrUnsent, err)
	}
	return err
}

// readBody reads the body to its end. A body shorter than announced is an
// error of net/http, one over the limit is ErrTooLarge; neither is passed on in
// part.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := wire.ReadAll(io.LimitReader(resp.Body, limit+1), resp.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer of over %d bytes: %w", limit, ErrTooLarge)
	}
	return body, nil
}

// Close drops idle connections.
func (s *Sender) Close() { s.http.CloseIdleConnections() }
