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
)

// customizePipelines sets what the profile pipelines needs of a gateway.
func customizePipelines(s *gateway.Settings) {
	s.Pipeline = gateway.Pipeline{Requests: 4, WriteTimeout: model.Duration(2 * time.Second)}
	s.Places.FromVMs = 1
	s.Spread.Surges = true
}

// pipelines are callers that send further requests before the first one is answered. Some read slowly, some leave.
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
	ids := make([]string, 1+draw.IntN(pipelineDepth))
	for i := range ids {
		ids[i] = p.nextID()
		p.check.RequestSent(ids[i], false)
		fmt.Fprintf(&text, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n", fleet.KeyedPath, ids[i], fleet.KeyedHost,
			fleet.Headers.RequestID, ids[i], fleet.Headers.DeadlineMs, p.profile.Deadline.Milliseconds(), fleet.Headers.Key, draw.IntN(keys))
	}
	_, err := io.WriteString(conn, text.String())
	leaves, slow := draw.IntN(8) == 0, draw.IntN(4) == 0
	for i, id := range ids {
		if err != nil || leaves && i == len(ids)/2 {
			p.check.RequestLost()
			err = io.ErrUnexpectedEOF
			continue
		}
		if slow {
			time.Sleep(slowRead)
		}
		err = p.receive(in, id, v)
	}
	return err == nil
}

// receive reads the response to a request.
func (p *pipelines) receive(in *bufio.Reader, id string, v *vm) error {
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
	if got := resp.Header.Get(fleet.Headers.RequestID); got != "" && got != id {
		p.check.Violated(PipelineOrder, id, "got the response to %s from %s", got, v.name)
	}
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		p.check.RequestRefused(id, code)
	case code/100 != 2:
		p.check.RequestFailed()
	default:
		p.check.RequestAnswered(id, string(body), fleet.Body(resp.Header.Get(fleet.Headers.Stamp), fleet.KeyedPath+id, bodyBytes))
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
