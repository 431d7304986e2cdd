package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now atomic.Int64 }

func newManualClock(now time.Duration) *manualClock {
	c := new(manualClock)
	c.advance(now)
	return c
}

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func newTestState(clock *manualClock) *routingState {
	return newRoutingState(clock, discardLogger(), metrics.NewRegistry(), "a", repeats.Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
}

func (s *routingState) setTargets(revision uint64, targets ...catalog.Target) {
	for i := range targets {
		targets[i].Revision = revision
	}
	s.updateTargets("test", func(m *catalog.TargetSet, now time.Duration) {
		m.Replace(catalog.Targets{Revision: revision, List: targets}, now)
	})
}

func (s *routingState) setOwner(service string, epoch, seq uint64, owner string, state lease.SliceState) {
	r := lease.Record{Service: service, Epoch: epoch, Slices: []lease.Slice{{From: 0, To: 65535, Owner: lease.Owner{ID: owner}}}}
	s.leases.Set(lease.NewRouting(r, seq, func(int) lease.SliceState { return state }))
}

// Guards against requests to a target that left, while its keys could not be moved to another one.
func TestDrainingOwnerGetsRequestsOnlyBriefly(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTestState(clock)
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2}
	s.setTargets(1, target)
	s.setOwner("s", 1, 1, "t", lease.Served)
	target.Draining = true
	s.setTargets(2, target)

	a, reason, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, notRefused, reason, "a draining owner serves the key until it has another owner")
	s.finish(a, resultAbandoned)

	clock.advance(drainingOwnerGrace + time.Millisecond)
	_, reason, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
}

func TestRequestForMovingKeyIsNotSent(t *testing.T) {
	s := newTestState(newManualClock(0))
	s.setTargets(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	s.setOwner("s", 1, 2, "t", lease.Moving)
	_, reason, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedMoving, reason)
	s.setOwner("s", 1, 1, "t", lease.Served)
	_, reason, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedMoving, reason, "older leases are ignored")
	s.setOwner("s", 2, 1, "t", lease.Served)
	_, reason, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, notRefused, reason)
}

// Guards against a restarted target that inherits the connections and statistics of its earlier
// incarnation.
func TestRestartedTargetStartsWithFreshState(t *testing.T) {
	s := newTestState(newManualClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.setTargets(1, target)
	old := s.targets["t"]
	old.pick.ConnectFailed(0)
	target.Born = 2
	s.setTargets(2, target)
	require.NotSame(t, old.pool, s.targets["t"].pool)
	require.False(t, s.targets["t"].pick.BackingOff(time.Millisecond))
}

// Guards against requests, and the repeats that follow, to a target of another service that got
// the address.
func TestDisplacedTargetGetsNoRequests(t *testing.T) {
	s := newTestState(newManualClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.setTargets(1, target)
	s.setOwner("s", 1, 1, "t", lease.Served)
	a, _, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	resp := &upstream.Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"Instance": {"other"}}}
	h := fakeAdapter{}.Headers()
	require.True(t, h.fromOtherTarget(resp, "t"))
	require.False(t, h.fromOtherTarget(resp, "other"), "a target that only does not hold the key is not another target")
	s.markDisplaced(a)
	_, reason, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, reason)
	_, reason = s.reserveFromPool("s", &route.Route{}, nil, time.Second, 0)
	require.Equal(t, refusedFull, reason)
	target.Born = 2
	s.setTargets(2, target)
	_, reason, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, notRefused, reason, "the new incarnation gets requests")
}

func TestGaugesShowAgeOfConfigAndLeases(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	g.state.setConfig(&route.Config{Version: 3}, "test")
	clock.advance(2 * time.Second)
	g.state.setOwner("s", 1, 1, "t", lease.Served)
	clock.advance(3 * time.Second)
	gauge := func(name string) int64 { return g.registry.Get(name).(metrics.Gauge).Value() }
	require.EqualValues(t, 5000, gauge("config.age"))
	require.EqualValues(t, 3000, gauge("leases.s.age"))
	g.state.setOwner("s", 1, 2, "u", lease.Served)
	require.Zero(t, gauge("leases.s.age"))
}

// Guards against VMs that all send their first requests to the same target.
func TestVMsStartWithDifferentTargets(t *testing.T) {
	startIndex := func(vm string) int {
		s := &Settings{Store: "127.0.0.1:1"}
		s.VM, s.Peers = vm, "127.0.0.1:1"
		return newGateway(s, fakeAdapter{store: unavailableStore{}}, newManualClock(0), discardLogger(), metrics.NewRegistry()).state.startIndex
	}
	require.NotEqual(t, startIndex("a"), startIndex("b"))
}

// reserveOwner is reserveOwnerOf for a request of a caller without a place.
func (s *routingState) reserveOwner(service string, rt *route.Route, key uint16, misdirected mesh.LeaseVersion, timeLeft time.Duration) (*attempt, refusal, string) {
	return s.reserveOwnerOf(ownerRequest{service: service, route: rt, key: key, misdirected: misdirected}, timeLeft)
}
