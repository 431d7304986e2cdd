// Package ring joins two goroutines by a bounded queue.
//
// Every duty of a daemon runs in a goroutine of its own and receives its work
// through a ring. A ring has a length, a policy for when it is full and a depth
// that the daemon exports as a metric, so that a duty that falls behind shows
// before callers notice it.
package ring

import (
	"context"
	"errors"
	"fmt"

	metrics "github.com/rcrowley/go-metrics"
)

// ErrFull reports that a ring with policy Refuse had no room.
var ErrFull = errors.New("ring is full")

// Policy says what Push does when the ring is full.
type Policy int

const (
	// Wait blocks the producer until there is room or its context ends.
	Wait Policy = iota
	// Refuse returns ErrFull at once.
	Refuse
	// DropOldest discards the entry that has waited longest. It suits state
	// of which only the newest value matters.
	DropOldest
)

// Ring is a bounded queue from any number of producers to one consumer.
type Ring[T any] struct {
	name    string
	policy  Policy
	entries chan T
	dropped metrics.Counter
}

// New returns a ring of the given length and registers its depth as
// ring.NAME.depth and its losses as ring.NAME.dropped.
func New[T any](name string, length int, policy Policy, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{name: name, policy: policy, entries: make(chan T, length)}
	r.dropped = metrics.GetOrRegisterCounter("ring."+name+".dropped", registry)
	registry.GetOrRegister("ring."+name+".depth", metrics.NewFunctionalGauge(func() int64 {
		return int64(len(r.entries))
	}))
	return r
}

// Push adds an entry according to the ring's policy.
func (r *Ring[T]) Push(ctx context.Context, entry T) error {
	select {
	case r.entries <- entry:
		return nil
	default:
	}
	switch r.policy {
	case Refuse:
		r.dropped.Inc(1)
		return fmt.Errorf("ring %s: %w", r.name, ErrFull)
	case DropOldest:
		r.pushOver(entry)
		return nil
	default:
		return r.pushWaiting(ctx, entry)
	}
}

func (r *Ring[T]) pushOver(entry T) {
	for {
		select {
		case r.entries <- entry:
			return
		default:
		}
		select {
		case <-r.entries:
			r.dropped.Inc(1)
		default:
		}
	}
}

func (r *Ring[T]) pushWaiting(ctx context.Context, entry T) error {
	select {
	case r.entries <- entry:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ring %s: %w", r.name, ctx.Err())
	}
}

// Entries is the consumer's end.
func (r *Ring[T]) Entries() <-chan T { return r.entries }

// Depth returns how many entries wait.
func (r *Ring[T]) Depth() int { return len(r.entries) }
