package gateway

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/decide/forwarding"
)

// forwardedRequests are the requests that this VM sends for others. It is safe for concurrent use.
type forwardedRequests struct {
	memory *budget.Share

	mu      sync.Mutex
	gate    *forwarding.Gate
	leaving bool
	running map[ForwardID]context.CancelFunc
	// cancelled holds requests that were cancelled before they arrived.
	cancelled map[ForwardID]bool
	// idle is closed when no request runs after leaving was set.
	idle chan struct{}
}

// bytesPerForwarded is the memory to allow for one forwarded request with its response, and
// forwardedMemoryShare the fraction of the VM's memory for all of them.
const (
	bytesPerForwarded    = 128 << 10
	forwardedMemoryShare = 0.25
)

func (g *Gateway) newForwardedRequests() *forwardedRequests {
	bytes := g.settings.memoryShare(forwardedMemoryShare)
	most := max(1, int(bytes/bytesPerForwarded))
	return &forwardedRequests{memory: g.memory.Share(max(bytes, bytesPerForwarded)), gate: forwarding.NewGate(most), running: make(map[ForwardID]context.CancelFunc), cancelled: make(map[ForwardID]bool), idle: make(chan struct{})}
}

// begin accepts a request, or returns why it does not. end must be called when the request has ended.
func (f *forwardedRequests) begin(parent context.Context, id ForwardID, timeLeft time.Duration) (ctx context.Context, end func(), reason refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return nil, nil, refusedLeaving
	}
	if f.cancelled[id] {
		delete(f.cancelled, id)
		return nil, nil, refusedCancelled
	}
	if !f.memory.TryAcquire(bytesPerForwarded) {
		return nil, nil, refusedByGate
	}
	if !f.gate.Enter() {
		f.memory.Release(bytesPerForwarded)
		return nil, nil, refusedByGate
	}
	ctx, cancel := context.WithTimeout(parent, timeLeft)
	f.running[id] = cancel
	return ctx, func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, id)
		f.gate.Leave()
		f.memory.Release(bytesPerForwarded)
		f.closeIfIdleLocked()
	}, notRefused
}

func (f *forwardedRequests) cancel(id ForwardID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel := f.running[id]; cancel != nil {
		cancel()
		return
	}
	// The request has ended, or arrives after this on another connection.
	if len(f.cancelled) >= maxCancelled {
		clear(f.cancelled)
	}
	f.cancelled[id] = true
}

// maxCancelled bounds the remembered requests that were cancelled before they arrived.
const maxCancelled = 256

// closeIfIdleLocked closes idle if the last request has ended. It needs f.mu.
func (f *forwardedRequests) closeIfIdleLocked() {
	if !f.leaving || len(f.running) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// state returns the number of requests in flight and the limit on it.
func (f *forwardedRequests) state() (inFlight, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.InFlight(), f.gate.Limit()
}

// drain accepts no more requests.
func (f *forwardedRequests) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.closeIfIdleLocked()
}

// await waits for the end of the requests after drain.
func (f *forwardedRequests) await(ctx context.Context) {
	select {
	case <-f.idle:
	case <-ctx.Done():
	}
}

// observe adapts the number of accepted requests to the delay of this VM's work.
func (f *forwardedRequests) observe(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Observe(lag)
}

// loggedStall is the length of a stall of the process from which on it is logged on its own.
const loggedStall = 500 * time.Millisecond

// measureLag periodically measures by how much this VM's timers are late, until ctx ends.
func (g *Gateway) measureLag(ctx context.Context) {
	g.stalls.Run(ctx, func(lag time.Duration) {
		metrics.GetOrRegisterTimer("step.lag", g.registry).Update(lag)
		g.forwarded.observe(lag)
		g.lag.observe(lag, g.clock.Now())
		if lag >= loggedStall {
			g.log.Warn().Str("step", "stall").Dur("length", lag).Msg("this process did not run")
		}
	})
}
