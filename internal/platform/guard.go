package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"hemlockquay/internal/pause"
)

// The budget. The store takes several hundred writes and about 2,000 reads a
// second from the whole system. Half of 300 and of 2,000 is planned for, so that
// operators' tools and a wrong count of VMs fit into the other half.
const (
	budgetWrites = 150
	budgetReads  = 1000
	// burstSeconds is how many seconds of a share may be used at once.
	burstSeconds = 2
	// minRate keeps a VM able to speak at all when there are very many.
	minRate = 0.2
)

// The circuit breaker.
const (
	// tripAfterFailures failures in a row open the circuit: one or two are lost answers.
	tripAfterFailures = 3
	// probeInterval is the mean pause between two probes of an open circuit. Nine
	// VMs then make nine calls a second at a dead store, and find it alive again
	// within about a second.
	probeInterval = time.Second
	// probeJitter is the part of probeEvery by which VMs differ, so that they
	// do not probe in step.
	probeJitter = 0.5
	// watchHealthyAfter is how long a watch must last without an error, where no event
	// comes, to count as a success. Bookmarks come once a second.
	watchHealthyAfter = 1500 * time.Millisecond
)

// Pauses between repeats of a read.
const (
	readBackoffMin  = 50 * time.Millisecond
	readBackoffMax  = time.Second
	maxReadAttempts = 3
)

// Guard protects the store from one VM. It is safe for concurrent use.
//
// Failure: in an outage of the store each duty of each VM repeats its calls.
// When the store returns, all the calls arrive at once, its rates are exceeded,
// and the outage goes on. Three measures hold against it: a rate for each VM,
// the shares adding up to half of what the store takes; repeats of reads with
// exponential pauses and jitter; and a circuit breaker that, while the store
// fails, refuses calls with ErrUnavailable but for one probe at a time.
type Guard struct {
	reads, writes *rate.Limiter
	breaker       *gobreaker.CircuitBreaker[struct{}]
	refused       metrics.Counter
}

// NewGuard returns a guard with the whole budget as its share.
func NewGuard(registry metrics.Registry) *Guard {
	g := &Guard{
		reads:   rate.NewLimiter(budgetReads, burstSeconds*budgetReads),
		writes:  rate.NewLimiter(budgetWrites, burstSeconds*budgetWrites),
		refused: metrics.GetOrRegisterCounter("store.refused", registry),
	}
	open := metrics.GetOrRegisterGauge("store.circuit.open", registry)
	spread := 1 + probeJitter*(rand.Float64()-0.5)
	g.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        "store",
		MaxRequests: 1,
		Timeout:     time.Duration(float64(probeInterval) * spread),
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripAfterFailures },
		IsSuccessful: func(err error) bool {
			return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrAmbiguous)
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			open.Update(int64(to))
		},
	})
	return g
}

// Share sets this VM's part of the budget, one of vms equal parts.
func (g *Guard) Share(vms int) {
	setRateLimit(g.reads, budgetReads, vms)
	setRateLimit(g.writes, budgetWrites, vms)
}

func setRateLimit(l *rate.Limiter, whole float64, vms int) {
	share := max(whole/float64(max(vms, 1)), minRate)
	if l.Limit() == rate.Limit(share) {
		return
	}
	l.SetLimit(rate.Limit(share))
	l.SetBurst(max(1, int(burstSeconds*share)))
}

// Wrap returns the store behind the guard. All stores that one guard wraps
// share its rates and its circuit.
func (g *Guard) Wrap(s Store) Store { return &guardedStore{g, s} }

// do passes one call.
func (g *Guard) do(ctx context.Context, l *rate.Limiter, call func() error) error {
	if err := l.Wait(ctx); err != nil {
		g.refused.Inc(1)
		return fmt.Errorf("store budget: %w", errors.Join(ErrUnavailable, err))
	}
	_, err := g.breaker.Execute(func() (struct{}, error) { return struct{}{}, call() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		g.refused.Inc(1)
		return fmt.Errorf("store circuit: %w", errors.Join(ErrUnavailable, err))
	}
	return err
}

// read passes a read and repeats it. Reads have no effect, so repeating is safe.
// A call that the guard itself refused is not repeated: the pause is the point.
func read[T any](ctx context.Context, g *Guard, call func() (T, error)) (T, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = readBackoffMin, readBackoffMax
	var out T
	for try := 1; ; try++ {
		reached := false
		err := g.do(ctx, g.reads, func() error {
			var err error
			reached = true
			out, err = call()
			return err
		})
		failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous)
		if !failed || !reached || try == maxReadAttempts || !pause.For(ctx, pauses.NextBackOff()) {
			return out, err
		}
	}
}

// guardedStore is a Store behind a guard.
type guardedStore struct {
	guard *Guard
	store Store
}

// Get implements Store.
func (s *guardedStore) Get(ctx context.Context, id ID) (Object, error) {
	return read(ctx, s.guard, func() (Object, error) { return s.store.Get(ctx, id) })
}

// List implements Store.
func (s *guardedStore) List(ctx context.Context) (Listing, error) {
	return read(ctx, s.guard, func() (Listing, error) { return s.store.List(ctx) })
}

// VMs implements Store.
func (s *guardedStore) VMs(ctx context.Context) ([]VM, error) {
	return read(ctx, s.guard, func() ([]VM, error) { return s.store.VMs(ctx) })
}

// Put implements Store. It is never repeated here; see Write.
func (s *guardedStore) Put(ctx context.Context, o Object) (Object, error) {
	var written Object
	err := s.guard.do(ctx, s.guard.writes, func() error {
		var err error
		written, err = s.store.Put(ctx, o)
		return err
	})
	return written, err
}

// Delete implements Store.
func (s *guardedStore) Delete(ctx context.Context, o Object) error {
	return s.guard.do(ctx, s.guard.writes, func() error { return s.store.Delete(ctx, o) })
}

// Watch implements Store. The circuit counts the watch's beginning, not its end:
// a watch ends for many reasons, and a probe must not last as long as a watch.
func (s *guardedStore) Watch(ctx context.Context, from uint64, handle func(Event) error) error {
	ended := make(chan error, 1)
	var once sync.Once
	first := make(chan struct{})
	began := false
	err := s.guard.do(ctx, s.guard.reads, func() error {
		began = true
		go func() {
			ended <- s.store.Watch(ctx, from, func(e Event) error {
				once.Do(func() { close(first) })
				return handle(e)
			})
		}()
		proof := time.NewTimer(watchHealthyAfter)
		defer proof.Stop()
		select {
		case err := <-ended:
			ended <- err
			return err
		case <-first:
		case <-proof.C:
		}
		return nil
	})
	if !began {
		return err
	}
	return <-ended
}
