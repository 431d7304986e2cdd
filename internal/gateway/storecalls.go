package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// countedStore counts and times the calls to the store by what they do and to which
// kind, and counts those that the store did not answer: each call is paid for.
type countedStore struct {
	platform.ObjectStore
	registry metrics.Registry
}

func (c countedStore) note(what string, kind model.Kind, begin time.Time, err error) {
	metrics.GetOrRegisterTimer("step.store."+what, c.registry).UpdateSince(begin)
	metrics.GetOrRegisterCounter("store.calls."+what+"."+string(kind), c.registry).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("store.failures."+what+"."+string(kind), c.registry).Inc(1)
	}
}

func (c countedStore) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	begin := time.Now()
	o, err := c.ObjectStore.Get(ctx, id)
	c.note("get", id.Kind, begin, err)
	return o, err
}

func (c countedStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	begin := time.Now()
	written, err := c.ObjectStore.Put(ctx, o)
	c.note("put", o.Kind, begin, err)
	return written, err
}

func (c countedStore) ListKind(ctx context.Context, kind model.Kind) (platform.Listing, error) {
	begin := time.Now()
	l, err := c.ObjectStore.ListKind(ctx, kind)
	c.note("list", kind, begin, err)
	return l, err
}

func (c countedStore) WatchKind(ctx context.Context, kind model.Kind, from uint64, wait time.Duration) (platform.Changes, error) {
	begin := time.Now()
	changes, err := c.ObjectStore.WatchKind(ctx, kind, from, wait)
	c.note("watch", kind, begin, err)
	return changes, err
}

// gauges shows what the VM believes, and how old it is.
func (n *node) gauges() {
	for name, value := range map[string]func() int64{
		"config.version":  func() int64 { return int64(n.state.view.Load().ConfigVersion()) },
		"config.age":      func() int64 { return n.state.ageOf(n.state.configAt()) },
		"targets.listed":  func() int64 { return int64(len(n.state.view.Load().Targets.List)) },
		"targets.age":     func() int64 { return (n.clock.Now() - time.Duration(n.toldAt.Load())).Milliseconds() },
		"mesh.live":       func() int64 { return int64(len(n.mesh.Live())) },
		"store.reachable": func() int64 { return boolGauge(n.storeUp.Load()) },
	} {
		n.registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
	}
}

// leaseGauge shows how old the word on a service's leases is.
func (s *state) leaseGauge(service string) {
	s.registry.GetOrRegister("leases."+service+".age", metrics.NewFunctionalGauge(func() int64 {
		s.mu.Lock()
		at := s.routedAt[service]
		s.mu.Unlock()
		return s.ageOf(at)
	}))
}

// ageOf returns how long ago a reading of the clock was, milliseconds.
func (s *state) ageOf(at time.Duration) int64 { return (s.clock.Now() - at).Milliseconds() }

func (s *state) configAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuredAt
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
