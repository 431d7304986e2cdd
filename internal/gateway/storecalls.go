package gateway

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// observedStore counts and times the calls to the store by operation and kind, and counts the
// failed ones, because each call has a cost. It reports the result of each call, so that the VM
// knows whether it reaches the store.
type observedStore struct {
	platform.ObjectStore
	registry metrics.Registry
	clock    boottime.Clock
	// onResult is called with the result of each call and the time at which the call was sent.
	onResult func(sent time.Duration, err error)
	pending  *pendingCalls
	// onRefused is called with the entries of an answer that could not be decoded, if any.
	onRefused func(kind model.Kind, entries []platform.Refused)
}

// maxRefusedLines bounds the log lines on entries that could not be decoded, per second.
const maxRefusedLines = 5

// newRefusedLog returns a function that counts and logs entries of the store that could not be decoded.
func (g *Gateway) newRefusedLog() func(model.Kind, []platform.Refused) {
	lines := rate.NewLimiter(maxRefusedLines, maxRefusedLines)
	return func(kind model.Kind, entries []platform.Refused) {
		for _, e := range entries {
			metrics.GetOrRegisterCounter("store.entries.refused."+string(kind), g.registry).Inc(1)
			if lines.Allow() {
				g.log.Warn().Str("step", "store").Str("kind", string(kind)).Str("name", e.Name).Str("reason", e.Reason).Msg("entry of the store could not be decoded")
			}
		}
	}
}

// storeCallsPrefix begins the names of the counters of calls to the store.
const storeCallsPrefix = "store.calls."

// observe runs a call to the store and records it.
func observe[T any](s observedStore, operation string, kind model.Kind, call func() (T, error)) (T, error) {
	begin, sent := time.Now(), s.clock.Now()
	done := s.pending.add(operation, kind, sent)
	out, err := call()
	done()
	metrics.GetOrRegisterTimer("step.store."+operation, s.registry).UpdateSince(begin)
	metrics.GetOrRegisterCounter(storeCallsPrefix+operation+"."+string(kind), s.registry).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("store.failures."+operation+"."+string(kind), s.registry).Inc(1)
	}
	s.onResult(sent, err)
	return out, err
}

func (s observedStore) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	return observe(s, "get", id.Kind, func() (platform.Object, error) { return s.ObjectStore.Get(ctx, id) })
}

func (s observedStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	return observe(s, "put", o.Kind, func() (platform.Object, error) { return s.ObjectStore.Put(ctx, o) })
}

func (s observedStore) ListKind(ctx context.Context, kind model.Kind) (platform.Listing, error) {
	out, err := observe(s, "list", kind, func() (platform.Listing, error) { return s.ObjectStore.ListKind(ctx, kind) })
	s.onRefused(kind, out.Refused)
	return out, err
}

func (s observedStore) WatchKind(ctx context.Context, kind model.Kind, from uint64, wait time.Duration) (platform.Changes, error) {
	out, err := observe(s, "watch", kind, func() (platform.Changes, error) { return s.ObjectStore.WatchKind(ctx, kind, from, wait) })
	s.onRefused(kind, out.Refused)
	return out, err
}

// registerGauges registers the gauges for the routing information of the VM and its age.
func (g *Gateway) registerGauges() {
	for name, value := range map[string]func() int64{
		"config.version":   func() int64 { return int64(g.state.view.Load().ConfigVersion()) },
		"config.confirmed": func() int64 { return g.confirmations.age(g.adapter.ConfigID().Kind).Milliseconds() },
		"config.newest":    func() int64 { return int64(max(g.state.announced.newest(), g.state.view.Load().ConfigVersion())) },
		"config.age":       func() int64 { return g.state.ageMillis(g.state.lastConfigChange()) },
		"targets.listed":   func() int64 { return int64(len(g.state.view.Load().Targets.List)) },
		"targets.age":      func() int64 { return g.confirmations.age(g.adapter.TargetKind()).Milliseconds() },
		"mesh.live":        func() int64 { return int64(len(g.mesh.Live())) },
		"mesh.heard": func() int64 {
			heard, _ := g.recentPeers()
			return int64(heard)
		},
		"lag.worst":        func() int64 { return g.lag.worst(g.clock.Now()).Milliseconds() },
		"subset.targets":   g.state.subsetSize,
		"targets.warming":  g.state.warmingTargets,
		"limits.targets":   g.state.limitedTargets,
		"paths.lost":       func() int64 { return int64(len(g.state.unreachedTargets())) },
		"paths.cutOff":     func() int64 { return boolToInt(g.state.cutOff()) },
		"places.lines":     func() int64 { lines, _, _ := g.lines.count(); return lines },
		"places.running":   func() int64 { _, running, _ := g.lines.count(); return running },
		"places.waiting":   func() int64 { _, _, waiting := g.lines.count(); return waiting },
		"forward.inFlight": func() int64 { inFlight, _ := g.forwarded.state(); return int64(inFlight) },
		"forward.limit":    func() int64 { _, limit := g.forwarded.state(); return int64(limit) },
		"store.reachable":  func() int64 { return boolToInt(g.storeUp.Load()) },
		"store.watching":   func() int64 { return int64(g.watching.Load()) },
		"store.pending":    func() int64 { return int64(len(g.pendingCalls.list(g.clock.Now()))) },
		"store.oldestCall": func() int64 { return g.pendingCalls.oldest(g.clock.Now()).Milliseconds() },
	} {
		g.registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
	}
}

// ageMillis returns the time since at, a reading of the clock, in milliseconds.
func (s *routingState) ageMillis(at time.Duration) int64 { return (s.clock.Now() - at).Milliseconds() }

func (s *routingState) lastConfigChange() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configChangedAt
}

func (s *routingState) lastConfigSource() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configSource
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
