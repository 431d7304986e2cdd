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

	"hemlockquay/internal/answers"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/caller"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/upstream"
	"hemlockquay/internal/wire"
)

// ErrUnsent reports that no byte of the request reached the target.
var ErrUnsent = errors.New("not sent")

// ErrWithheld reports that the request was not sent because nobody waits for its answer any more, or its time is over. It comes
// with ErrUnsent and the reason, which is an error of package caller.
var ErrWithheld = errors.New("withheld")

// ErrTooLarge reports that the target's answer exceeds Attempt.MaxAnswer.
var ErrTooLarge = errors.New("answer over the limit")

// RefusedError reports that the target refused the request without running it.
type RefusedError struct{ Reason Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Attempt is one attempt to send a request to a target.
type Attempt struct {
	Request *wire.Request
	Target  model.Target
	// Grant is the target's grant for the request's key, nil if the service is
	// unkeyed.
	Grant *wire.Grant
	// MaxAnswer bounds the body of the answer, bytes.
	MaxAnswer int64
	// Deadline is the caller's deadline.
	Deadline time.Time
}

// Sender sends requests to targets, over a bounded number of connections to each target.
type Sender struct {
	http      *http.Client
	transport *answers.Transport
	// memory is where answers reserve memory while they are read. It may be nil.
	memory *budget.Share
}

// Within bounds the answers that are being read, together with all that has the same share. It is called before the first use.
func (s *Sender) Within(memory *budget.Share) *Sender {
	s.memory = memory
	return s
}

// ReportTo records broken answers in a log. It is called before the first use.
func (s *Sender) ReportTo(broken *answers.Log) *Sender {
	s.transport.ReportTo(broken)
	return s
}

// dialTimeout bounds the time to connect, which takes about 1 ms within a region.
const dialTimeout = 500 * time.Millisecond

// idleTimeout is how long an unused connection is kept open.
const idleTimeout = 90 * time.Second

// maxResponseHeaderBytes bounds the headers of an answer. Common servers send up to this
// size, and no target needs more.
const maxResponseHeaderBytes = 64 << 10

// NewSender returns a sender with at most the given number of connections to each target.
func NewSender(connections int) *Sender {
	transport := answers.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The default of net/http is 10 MiB for each attempt.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
	return &Sender{transport: transport, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// dial opens a connection that is closed with a reset, which discards buffered data. As
// net/http closes the connection of a cancelled request before it returns the error, no part
// of a request can arrive after its Send returned without an answer.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := upstream.DialWithReset(ctx, &net.Dialer{Timeout: dialTimeout}, network, addr)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: nc}, nil
}

// nonRewindableBody returns a body that net/http cannot rewind. net/http may retry by itself a
// request whose body it can rewind, including a POST with an Idempotency-Key header. It still
// detects that this body is in memory, and sends headers and body in one write.
func nonRewindableBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// setBody sets the request's body. An empty body must not be http.NoBody, with which
// net/http may retry the request. For another empty body net/http would start a goroutine
// with a timer for each request to look for a first byte. The transfer encoding "identity"
// avoids this: the request is sent without a length, which means no body for methods that
// rarely have one.
func setBody(req *http.Request, body []byte) {
	req.Body = nonRewindableBody(body)
	req.ContentLength = int64(len(body))
	switch {
	case len(body) > 0:
	case req.Method == http.MethodPost, req.Method == http.MethodPut, req.Method == http.MethodPatch:
		// Servers may require a length or chunks for these methods: the empty body is
		// sent as a chunked body without chunks.
	default:
		req.TransferEncoding = []string{"identity"}
	}
}

// Send sends the request once and returns the complete answer. The error is ErrUnsent or
// *RefusedError if the target certainly did not run the request.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*wire.Answer, error) {
	req, err := buildRequest(ctx, a)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	var withheld error
	req = req.WithContext(withGate(ctx, func() error {
		withheld = caller.Check(ctx)
		return withheld
	}))
	resp, err := s.http.Do(req)
	if err != nil {
		if withheld != nil {
			return nil, errors.Join(ErrUnsent, ErrWithheld, withheld)
		}
		return nil, classify(err)
	}
	defer resp.Body.Close()
	if refused := resp.Header.Get(HeaderRefused); refused != "" && resp.Header.Get(problem.Header) == string(problem.RanNo) {
		return nil, &RefusedError{Reason: Refusal(refused)}
	}
	body, err := readBody(resp, a.MaxAnswer, s.memory)
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

// maxAddedHeaders is the largest number of headers that buildRequest adds.
const maxAddedHeaders = 6

func buildRequest(ctx context.Context, a *Attempt) (*http.Request, error) {
	r := a.Request
	if !strings.HasPrefix(r.Path, "/") {
		// Appended to the address, such a path could change the host of the request.
		return nil, fmt.Errorf("build request: the path %q does not begin with a slash", r.Path)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Target.Addr+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	setBody(req, r.Body)
	// All attempts share the slices of header values; Set replaces a slice and does not
	// modify it.
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

// readBody reads the complete body. net/http reports a body shorter than announced as an
// error; a body over the limit is ErrTooLarge. A partial body is never returned.
func readBody(resp *http.Response, limit int64, memory *budget.Share) ([]byte, error) {
	held := budget.Reader{In: io.LimitReader(resp.Body, limit+1), Share: memory}
	defer held.Release()
	body, err := wire.ReadAll(&held, resp.ContentLength)
	if errors.Is(err, budget.ErrNoMemory) {
		return nil, fmt.Errorf("read answer: %w: %w", ErrTooLarge, err)
	}
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer of over %d bytes: %w", limit, ErrTooLarge)
	}
	return body, nil
}

// Close closes idle connections.
func (s *Sender) Close() { s.http.CloseIdleConnections() }
