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

// fakeStore answers Get, Put and Watch as set.
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

// The store is down for a minute. Each VM's duties ask again and again; when the
// store returns it is buried under the repeats and stays down. Cause: nothing
// holds the calls back while they all fail.
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
		require.LessOrEqual(t, during, int64(85), "calls in a minute of outage by 20 callers")
		down.Store(false)
		time.Sleep(2 * probeInterval)
		_, err := s.Get(ctx, ID{})
		require.NoError(t, err, "the circuit closes after the outage")
		cancel()
		time.Sleep(time.Second)
	})
}

// A VM in a loop writes as fast as it can. The other VMs' writes are refused by
// the store, and nobody knows why. Cause: no VM has a share of its own.
func TestShareLimitsOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{put: func(o Object) (Object, error) { return o, nil }}
		g := NewGuard(metrics.NewRegistry())
		g.Share(9)
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

// A quiet watch runs for minutes after the outage while every other call is
// refused. Cause: the circuit takes the watch for its probe and waits for its end.
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

// An update is sent, its answer is lost, and the packet itself is late. The
// object still shows the old version, so the update is sent again; meanwhile the
// late copy arrives and takes effect. The repeat conflicts with it, and the
// operator reads that somebody else won. Cause: a conflict of a repeat taken for
// another's write.
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

// A contract is created, the answer is lost, an operator deletes the contract,
// and it is there again. Cause: the absent object was taken for a create that
// never arrived, and the create was repeated.
func TestLostCreateIsNotRepeatedAfterDelete(t *testing.T) {
	f := &fakeStore{
		get: func() (Object, error) { return Object{}, ErrNotFound },
		put: func(Object) (Object, error) { return Object{}, ErrAmbiguous },
	}
	_, err := Write(t.Context(), f, Object{Name: "a", Writer: "mine"})
	require.ErrorIs(t, err, ErrAmbiguous)
	require.Equal(t, int64(1), f.puts.Load())
}
