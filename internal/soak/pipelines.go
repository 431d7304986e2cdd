package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockquay/internal/gateway"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/standin/fleet"
)

const (
	// PipelineOrder: the responses on a connection belong to the requests that were sent on it, in their order.
	PipelineOrder = "ORDER"

	// pipelineCallers is the number of callers that pipeline requests, pipelineDepth the most that they send at a time.
	pipelineCallers, pipelineDepth = 6, 12
	// pipelinePause is the time between two batches of a caller, slowRead how long a slow reader waits between responses.
	pipelinePause, slowRead = 100 * time.Millisecond, 200 * time.Millisecond
	// pipelineRoom is the number of requests that a target runs and queues. It resets the connections of further ones.
	pipelineRoom = 2 * slots
	// pipelinesStream draws what the callers do.
	pipelinesStream = 41
	// pipelineBody is the most bytes of a body, pipelinePiece those of one write while a batch arrives in pieces, piecePause
	// the longest time between two pieces.
	pipelineBody, pipelinePiece = 12_800, 500
	piecePause                  = 8 * time.Millisecond
)

// customizePipelines sets what the profile pipelines needs of a gateway.
func customizePipelines(s *gateway.Settings) {
	s.Pipeline = gateway.Pipeline{Requests: 4, WriteTimeout: model.Duration(2 * time.Second)}
	s.Places.FromVMs = 1
	s.Spread.Surges = true
}

// pipelines are callers that send further requests before the first one is answered, with and without bodies. Some send in
// pieces, some read slowly, some leave.
type pipelines struct {
	*load
	next sync.Mutex
	sent int
}

// run sends batches of requests until the context ends.
func (p *pipelines) run(ctx context.Context, seed uint64) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range pipelineCallers {
		draw := rand.New(rand.NewPCG(seed, pipelinesStream+uint64(i)))
		wait.Go(func() {
			for pause.For(ctx, pipelinePause) {
				p.connect(ctx, p.vms[draw.IntN(len(p.vms))], draw)
			}
		})
	}
}

// connect sends batches over one connection until it ends.
func (p *pipelines) connect(ctx context.Context, v *vm, draw *rand.Rand) {
	conn, err := net.DialTimeout("tcp", v.requestAddr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for pause.For(ctx, pipelinePause) {
		if !p.batch(conn, in, v, draw) {
			return
		}
	}
}

// batch sends requests and reads their responses. It returns false if the connection has ended.
func (p *pipelines) batch(conn net.Conn, in *bufio.Reader, v *vm, draw *rand.Rand) bool {
	_ = conn.SetDeadline(time.Now().Add(p.profile.CallerTimeout))
	var text strings.Builder
	requests := make([]pipelined, 1+draw.IntN(pipelineDepth))
	for i := range requests {
		requests[i] = p.draw(draw)
		p.check.RequestSent(requests[i].id, requests[i].once)
		requests[i].write(&text, p.profile.Deadline)
	}
	err := writeBatch(conn, text.String(), draw)
	leaves, slow := draw.IntN(8) == 0, draw.IntN(4) == 0
	for i, r := range requests {
		if err != nil || leaves && i == len(requests)/2 {
			p.check.RequestLost()
			err = io.ErrUnexpectedEOF
			continue
		}
		if slow {
			time.Sleep(slowRead)
		}
		err = p.receive(in, r, v)
	}
	return err == nil
}

// pipelined is a request of a batch.
type pipelined struct {
	id, method, host, path string
	key                    int
	// once is set for a route that is not idempotent, chunked for a body in chunks.
	once, chunked bool
	body          string
}

// draw draws a request: without a body to owners of keys, or with one to a pool, which may run it once.
func (p *pipelines) draw(draw *rand.Rand) pipelined {
	id := p.nextID()
	if draw.IntN(3) > 0 {
		return pipelined{id: id, method: http.MethodGet, host: fleet.KeyedHost, path: fleet.KeyedPath + id, key: draw.IntN(keys)}
	}
	r := pipelined{id: id, method: http.MethodGet, host: fleet.PoolHost, path: fleet.PoolPath + id, once: true}
	if kind := draw.IntN(3); kind > 0 {
		r.method, r.chunked = http.MethodPost, kind == 1
		r.body = strings.Repeat("b", 1+draw.IntN(pipelineBody))
	}
	return r
}

// write writes the request as it is sent.
func (r pipelined) write(out *strings.Builder, deadline time.Duration) {
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n", r.method, r.path, r.host,
		fleet.Headers.RequestID, r.id, fleet.Headers.DeadlineMs, deadline.Milliseconds(), fleet.Headers.Key, r.key)
	switch {
	case r.chunked:
		half := len(r.body) / 2
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range []string{r.body[:half], r.body[half:]} {
			if len(chunk) > 0 {
				fmt.Fprintf(out, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		out.WriteString("0\r\n\r\n")
	case r.body != "":
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		out.WriteString("\r\n")
	}
}

// writeBatch writes requests at once or in pieces.
func writeBatch(conn net.Conn, text string, draw *rand.Rand) error {
	if draw.IntN(2) == 0 {
		_, err := io.WriteString(conn, text)
		return err
	}
	pause := time.Duration(draw.Int64N(int64(piecePause)))
	for len(text) > 0 {
		n := min(len(text), 1+draw.IntN(pipelinePiece))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// receive reads the response to a request.
func (p *pipelines) receive(in *bufio.Reader, r pipelined, v *vm) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		p.check.RequestLost()
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.check.RequestLost()
		return err
	}
	if got := resp.Header.Get(fleet.Headers.RequestID); got != "" && got != r.id {
		p.check.Violated(PipelineOrder, r.id, "got the response to %s from %s", got, v.name)
	}
	switch code := resp.StatusCode; {
	case code == http.StatusBadRequest:
		p.check.Violated(PipelineOrder, r.id, "was not understood by %s", v.name)
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		p.check.RequestRefused(r.id, code)
	case code/100 != 2:
		p.check.RequestFailed()
	default:
		p.check.RequestAnswered(r.id, string(body), fleet.Body(resp.Header.Get(fleet.Headers.Stamp), r.path, bodyBytes))
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

func (p *pipelines) nextID() string {
	p.next.Lock()
	defer p.next.Unlock()
	p.sent++
	return "pipelined-" + strconv.Itoa(p.sent)
}
