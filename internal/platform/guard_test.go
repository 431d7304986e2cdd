package platform

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/pause"
)

// fakeStore counts Get, Put and Watch calls; get and put return the results.
type fakeStore struct {
	Store
	gets, puts, watches atomic.Int64
	get                 func() (Object, error)
	put                 func(o Object) (Object, error)
}

func (f *fakeStore) Get(context.Context, ID) (Object, error) {
	f.gets.Add(1)
	return f.get()
}

func (f *fakeStore) Put(_ context.Context, o Object) (Object, error) {
	f.puts.Add(1)
	return f.put(o)
}

func (f *fakeStore) Watch(ctx context.Context, _ uint64, _ func(Event) error) error {
	f.watches.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// The store is down for a minute while callers keep retrying. Without a circuit breaker
// the retries overload the store when it recovers, and the outage goes on.
func TestOutageAllowsOnlyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		down.Store(true)
		f := &fakeStore{get: func() (Object, error) {
			time.Sleep(5 * time.Millisecond)
			if down.Load() {
				return Object{}, ErrAmbiguous
			}
			return Object{}, nil
		}}
		s := NewGuard(metrics.NewRegistry()).Wrap(f)
		ctx, cancel := context.WithCancel(t.Context())
		for range 20 {
			go func() {
				for ctx.Err() == nil {
					_, _ = s.Get(ctx, ID{})
					pause.For(ctx, 10*time.Millisecond)
				}
			}()
		}
		time.Sleep(5 * time.Second)
		before := f.gets.Load()
		time.Sleep(time.Minute)
		during := f.gets.Load() - before
		require.GreaterOrEqual(t, during, int64(40))
		require.LessOrEqual(t, during, int64(85), "calls of 20 callers in a minute of outage")
		down.Store(false)
		time.Sleep(2 * probeInterval)
		_, err := s.Get(ctx, ID{})
		require.NoError(t, err, "the circuit closes after the outage")
		cancel()
		time.Sleep(time.Second)
	})
}

// A VM writes in a tight loop. Without a rate limit for each VM it uses up the store's
// rate, and the store rejects the writes of the other VMs.
func TestShareLimitsOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{put: func(o Object) (Object, error) { return o, nil }}
		g := NewGuard(metrics.NewRegistry())
		g.SetShare(9)
		s := g.Wrap(f)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := s.Put(ctx, Object{}); err != nil {
				require.ErrorIs(t, err, ErrUnavailable)
				break
			}
		}
		share := float64(budgetWrites) / 9
		require.InDelta(t, share*(60+burstSeconds), float64(f.puts.Load()), share)
	})
}

// After an outage the first call is a watch, which may run for minutes without events.
// If the circuit breaker waits for its end as for a probe, it rejects all other calls.
func TestWatchDoesNotOccupyProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := true
		f := &fakeStore{get: func() (Object, error) {
			if down {
				return Object{}, ErrUnavailable
			}
			return Object{}, nil
		}}
		s := NewGuard(metrics.NewRegistry()).Wrap(f)
		_, err := s.Get(t.Context(), ID{})
		require.ErrorIs(t, err, ErrUnavailable)
		down = false
		time.Sleep(2 * probeInterval)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Watch(ctx, 0, func(Event) error { return nil }) }()
		time.Sleep(watchHealthyAfter + time.Millisecond)
		require.Equal(t, int64(1), f.watches.Load())
		_, err = s.Get(t.Context(), ID{})
		require.NoError(t, err)
		cancel()
		time.Sleep(time.Second)
	})
}

// The answer to an update is lost and the update itself is delayed. The object still has
// the old version, so the update is retried; meanwhile the delayed copy takes effect and
// the retry conflicts with it. The conflict must not be reported as another writer's.
func TestConflictWithOwnDelayedCopyIsSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := Object{Name: "a", Version: 7, Writer: "other"}
		f := &fakeStore{get: func() (Object, error) { return held, nil }}
		f.put = func(o Object) (Object, error) {
			if f.puts.Load() == 1 {
				return Object{}, ErrAmbiguous
			}
			held = Object{Name: "a", Version: 8, Writer: o.Writer}
			return Object{}, ErrConflict
		}
		written, err := Write(t.Context(), f, Object{Name: "a", Version: 7, Writer: "mine"})
		require.NoError(t, err)
		require.Equal(t, uint64(8), written.Version)
	})
}

// The answer to a create is lost and an operator deletes the object. If the absent object
// is taken for a create that never arrived, the retry restores the deleted object.
func TestLostCreateIsNotRepeatedAfterDelete(t *testing.T) {
	f := &fakeStore{
		get: func() (Object, error) { return Object{}, ErrNotFound },
		put: func(Object) (Object, error) { return Object{}, ErrAmbiguous },
	}
	_, err := Write(t.Context(), f, Object{Name: "a", Writer: "mine"})
	require.ErrorIs(t, err, ErrAmbiguous)
	require.Equal(t, int64(1), f.puts.Load())
}
