package dispatch

import (
	"context"
	"time"
)

// crewRest is how long a goroutine of a crew waits for work: longer than the gaps
// of a queue in use, and short beside the memory that it holds, some 16 KB.
const crewRest = time.Second

// crew runs attempts in goroutines that are used again.
//
// Load pattern: a goroutine for each attempt. A new one starts with 2 KB of stack
// and grows it three times on its way through the HTTP transport, copying it each
// time: copies were 9 % of the dispatcher's processor time at 900 requests a second.
type crew struct{ work chan func() }

func newCrew() *crew { return &crew{work: make(chan func())} }

// run hands the work to a goroutine that rests, or to a new one, which rests until the
// context ends. It does not block.
func (c *crew) run(ctx context.Context, work func()) {
	select {
	case c.work <- work:
	default:
		go c.serve(ctx, work)
	}
}

func (c *crew) serve(ctx context.Context, work func()) {
	rest := time.NewTimer(crewRest)
	defer rest.Stop()
	for {
		work()
		rest.Reset(crewRest)
		select {
		case work = <-c.work:
		case <-rest.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
