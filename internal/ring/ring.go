// Package ring provides a bounded queue between goroutines.
//
// Every task of a daemon runs in its own goroutine and receives its input through a
// ring. A ring has a length, a policy for when it is full, and a depth that the daemon
// exports as a metric, so that a task that falls behind is visible before callers
// are affected.
package ring

import (
	"context"
	"errors"
	"fmt"

	metrics "github.com/rcrowley/go-metrics"
)

// ErrFull is returned by Push if a ring with policy Refuse is full.
var ErrFull = errors.New("ring is full")

// Policy determines what Push does when the ring is full.
type Policy int

const (
	// Wait blocks the producer until there is room or its context is done.
	Wait Policy = iota
	// Refuse returns ErrFull at once.
	Refuse
	// DropOldest discards the oldest entry. It is meant for state of which only
	// the newest value matters.
	DropOldest
)

// Ring is a bounded queue from any number of producers to one consumer.
type Ring[T any] struct {
	name    string
	policy  Policy
	entries chan T
	dropped metrics.Counter
}

// New returns a ring of the given length. It registers the metrics ring.NAME.depth, the
// number of queued entries, and ring.NAME.dropped, the number of entries refused or discarded.
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
		r.pushDroppingOldest(entry)
		return nil
	default:
		return r.pushWaiting(ctx, entry)
	}
}

func (r *Ring[T]) pushDroppingOldest(entry T) {
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

// Entries returns the channel that the consumer receives from.
func (r *Ring[T]) Entries() <-chan T { return r.entries }

// Depth returns the number of queued entries.
func (r *Ring[T]) Depth() int { return len(r.entries) }
