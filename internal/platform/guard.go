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

// Rate limits. The store accepts several hundred writes and about 2,000 reads per
// second from the whole system. The VMs together use half of 300 and of 2,000; the
// other half is left for operators' tools and for a wrong count of VMs.
const (
	budgetWrites = 150
	budgetReads  = 1000
	// burstSeconds is the size of a burst, in seconds at the VM's rate.
	burstSeconds = 2
	// minRate is the lowest rate of a VM, calls per second, so that it can still call
	// the store when very many VMs share the budget.
	minRate = 0.2
)

// Parameters of the circuit breaker.
const (
	// tripAfterFailures is how many consecutive failures open the circuit. One or
	// two failures may be single lost answers.
	tripAfterFailures = 3
	// probeInterval is the mean interval between probes while the circuit is open.
	// Nine VMs then make nine calls per second to an unavailable store and detect
	// its recovery within about a second.
	probeInterval = time.Second
	// probeJitter is the width of the range in which the VMs' probe intervals lie, as
	// a fraction of probeInterval. It keeps VMs from probing at the same time.
	probeJitter = 0.5
	// watchHealthyAfter is how long a watch without events must run without an error
	// to count as a success. Bookmarks arrive once per second.
	watchHealthyAfter = 1500 * time.Millisecond
)

// Backoff and attempts of reads.
const (
	readBackoffMin  = 50 * time.Millisecond
	readBackoffMax  = time.Second
	maxReadAttempts = 3
)

// Guard limits the load that one VM puts on the store. It is safe for concurrent
// use.
//
// It prevents retry storms. During an outage of the store every task on every VM
// retries its calls; when the store recovers, all the calls arrive at once, exceed
// its rate limits and prolong the outage. Guard has three measures against this: a
// rate limit for each VM, with all limits adding up to half of what the store
// accepts; retries of reads with exponential backoff and jitter; and a circuit
// breaker that, while the store fails, rejects all calls with ErrUnavailable except
// one probe at a time.
type Guard struct {
	reads, writes *rate.Limiter
	breaker       *gobreaker.CircuitBreaker[struct{}]
	refused       metrics.Counter
}

// NewGuard returns a guard that may use the whole budget until SetShare is called.
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

// SetShare limits this VM to its part of the budget, divided equally among vms VMs.
func (g *Guard) SetShare(vms int) {
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

// Wrap returns a store whose calls pass through the guard. All stores that one
// guard wraps share its rate limits and its circuit breaker.
func (g *Guard) Wrap(s Store) Store { return &guardedStore{g, s} }

// do makes one call within the rate limit and through the circuit breaker.
func (g *Guard) do(ctx context.Context, l *rate.Limiter, call func() error) error {
	if err := l.Wait(ctx); err != nil {
		g.refused.Inc(1)
		return fmt.Errorf("store rate limit: %w", errors.Join(ErrUnavailable, err))
	}
	_, err := g.breaker.Execute(func() (struct{}, error) { return struct{}{}, call() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		g.refused.Inc(1)
		return fmt.Errorf("store circuit breaker: %w", errors.Join(ErrUnavailable, err))
	}
	return err
}

// read makes a read call and retries it. Reads have no effect, so retrying is safe. A
// call that the guard itself rejected is not retried, as its purpose is to reduce the
// load.
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

// guardedStore is a Store whose calls pass through a Guard.
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

// Put implements Store. It is not retried here; see Write.
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

// Watch implements Store. The circuit breaker counts whether the watch starts, not how
// it ends: a watch ends for many reasons, and a probe must not take as long as a watch.
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
