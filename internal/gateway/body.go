package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/upstream"
)

const (
	// defaultMaxBody bounds the size of a request body in bytes if the configuration does not.
	defaultMaxBody = 1 << 20
	// initialBuffer is the size in bytes of the first buffer for a body without Content-Length.
	// The buffer is doubled as needed.
	initialBuffer = 16 << 10
	// bodyMemoryShare is the fraction of the VM's memory that bodies may use, within the memory of all requests.
	bodyMemoryShare = 0.25
)

var (
	errBodyTooLarge = errors.New("body over the limit")
	errNoBodyMemory = errors.New("no memory for the body")
)

// bodyMemory is the memory for request bodies, counted in bytes. A body is held until its request
// is answered, so without a bound a few large ones would use up the memory of a VM. A request
// whose body does not fit is refused as not run.
type bodyMemory struct{ *budget.Share }

func (g *Gateway) newBodyMemory() bodyMemory {
	return bodyMemory{g.memory.Share(g.settings.memoryShare(bodyMemoryShare))}
}

// answerMemoryShare is the fraction of the VM's memory that the responses of targets may use. A buffer that grows is held
// twice for a moment.
const answerMemoryShare = 0.25

// newAnswerMemory returns the memory for the responses of all targets, to requests, inquiries and orders. A response that
// does not fit ends with its connection.
func (g *Gateway) newAnswerMemory() *upstream.Memory {
	cut, lines := metrics.GetOrRegisterCounter("answers.tooLarge", g.registry), rate.NewLimiter(1, maxSignalLines)
	return upstream.NewMemory(g.memory.Share(g.settings.memoryShare(answerMemoryShare)), func(addr string, err error) {
		cut.Inc(1)
		if lines.Allow() {
			g.log.Warn().Str("step", "answers").Str("addr", addr).Err(err).Msg("response of a target cut off")
		}
	})
}

// bodyReservation is the memory that is reserved for one request's body.
type bodyReservation struct {
	memory   bodyMemory
	reserved int64
}

// reserve increases the reservation to size.
func (b *bodyReservation) reserve(size int64) error {
	if !b.memory.TryAcquire(size - b.reserved) {
		return errNoBodyMemory
	}
	b.reserved = size
	return nil
}

// release returns the reserved memory.
func (b *bodyReservation) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}

// read reads a body of the given size, which is -1 if it is not known.
func (b *bodyReservation) read(r io.Reader, size, limit int64) ([]byte, error) {
	if size >= 0 {
		if size > limit {
			return nil, errBodyTooLarge
		}
		return b.readSized(r, size)
	}
	var body []byte
	for {
		capacity := min(max(2*b.reserved, initialBuffer), limit+1)
		if err := b.reserve(capacity); err != nil {
			return nil, err
		}
		buffer := make([]byte, capacity)
		filled := copy(buffer, body)
		n, err := io.ReadFull(r, buffer[filled:])
		body = buffer[:filled+n]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		}
	}
}

func (b *bodyReservation) readSized(r io.Reader, size int64) ([]byte, error) {
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readBody reads the whole body before the request is sent: an incomplete body is never forwarded.
// The body is kept so that it can be sent again if a target refuses the request or the route
// allows repeats.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request, limit int64) *outcome {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := g.readBodyByDeadline(c, w, r, limit)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &outcome{status: http.StatusRequestEntityTooLarge, reason: errBodyTooLarge.Error()}
	case errors.Is(err, errNoBodyMemory):
		return &outcome{status: http.StatusServiceUnavailable, reason: errNoBodyMemory.Error(), retryAfter: maxRetryAfter}
	case cancelledByShutdown(r.Context()):
		return &outcome{status: http.StatusServiceUnavailable, reason: errShuttingDown.Error(), retryAfter: immediateRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &outcome{status: http.StatusRequestTimeout, reason: "body not read in time"}
	case err != nil:
		return &outcome{status: http.StatusBadRequest, reason: "body not readable"}
	}
	c.request.Body = body
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n" + r.Header.Get(g.headers.Key) + "\n")
	_, _ = digest.Write(body)
	c.digest = digest.Sum64()
	return nil
}

// readBodyByDeadline reads the body until the request's deadline or the shutdown of the process.
// Without the deadline, a caller that stops in the middle of its body and keeps the connection
// open would hold the memory indefinitely.
func (g *Gateway) readBodyByDeadline(c *call, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(c.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	stopReading := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Unix(0, 0)) })
	defer stopReading()
	body, err := c.body.read(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	// Without a deadline, the server's background read continues and detects that the caller
	// closes the connection.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}
