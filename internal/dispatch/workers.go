package dispatch

import (
	"context"
	"time"
)

// workerIdleTimeout is how long a goroutine of a worker pool waits for work: longer than the gaps
// of a queue in use, and short beside the memory that it holds, some 16 KB.
const workerIdleTimeout = time.Second

// worker pool runs attempts in goroutines that are used again.
//
// Load pattern: a goroutine for each attempt. A new one starts with 2 KB of stack
// and grows it three times in the HTTP transport, copying it each
// time: copies were 9 % of the dispatcher's processor time at 900 requests a second.
type workerPool struct{ work chan func() }

func newWorkerPool() *workerPool { return &workerPool{work: make(chan func())} }

// run hands the work to a goroutine that rests, or to a new one, which rests until the
// context ends. It does not block.
func (p *workerPool) run(ctx context.Context, work func()) {
	select {
	case p.work <- work:
	default:
		go p.serve(ctx, work)
	}
}

func (p *workerPool) serve(ctx context.Context, work func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		work()
		idle.Reset(workerIdleTimeout)
		select {
		case work = <-p.work:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
