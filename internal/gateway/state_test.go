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
	s.updateTargets("test", func(m *catalog.Members, now time.Duration) {
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

	e, why, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, notRefused, why, "until the key has another owner, this one serves it")
	s.finish(e, resultAbandoned)

	clock.advance(drainingOwnerGrace + time.Millisecond)
	_, why, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, refusedLost, why)
}

func TestRequestForMovingKeyIsNotSent(t *testing.T) {
	s := newTestState(newManualClock(0))
	s.setTargets(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	s.setOwner("s", 1, 2, "t", lease.Moving)
	_, why, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, refusedMoving, why)
	s.setOwner("s", 1, 1, "t", lease.Served)
	_, why, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, refusedMoving, why, "older leases change nothing")
	s.setOwner("s", 2, 1, "t", lease.Served)
	_, why, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, notRefused, why)
}

// Guards against a restarted target that inherits the connections and statistics of its earlier
// incarnation.
func TestRestartedTargetStartsWithFreshState(t *testing.T) {
	s := newTestState(newManualClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.setTargets(1, target)
	first := s.targets["t"]
	first.pick.ConnectFailed(0)
	target.Born = 2
	s.setTargets(2, target)
	require.NotSame(t, first.pool, s.targets["t"].pool)
	require.False(t, s.targets["t"].pick.BackingOff(time.Millisecond))
}

// Guards against requests, and the repeats that follow, to a target of another service that got
// the address.
func TestDisplacedTargetGetsNoRequests(t *testing.T) {
	s := newTestState(newManualClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.setTargets(1, target)
	s.setOwner("s", 1, 1, "t", lease.Served)
	e, _, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	a := &upstream.Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"Instance": {"other"}}}
	h := fakeAdapter{}.Headers()
	require.True(t, h.fromOtherTarget(a, "t"))
	require.False(t, h.fromOtherTarget(a, "other"), "a target that does not hold the key is no other")
	s.markDisplaced(e)
	_, why, _ := s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, refusedLost, why)
	_, why = s.reserveFromPool("s", &route.Route{}, nil, time.Second, 0)
	require.Equal(t, refusedFull, why)
	target.Born = 2
	s.setTargets(2, target)
	_, why, _ = s.reserveOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseMark{}, time.Second)
	require.Equal(t, notRefused, why, "a new life answers there")
}

func TestGaugesShowAgeOfConfigAndLeases(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := newTestGateway(clock)
	defer n.mesh.Close()
	n.state.setConfig(&route.Config{Version: 3}, "test")
	clock.advance(2 * time.Second)
	n.state.setOwner("s", 1, 1, "t", lease.Served)
	clock.advance(3 * time.Second)
	gauge := func(name string) int64 { return n.registry.Get(name).(metrics.Gauge).Value() }
	require.EqualValues(t, 5000, gauge("config.age"))
	require.EqualValues(t, 3000, gauge("leases.s.age"))
	n.state.setOwner("s", 1, 2, "u", lease.Served)
	require.Zero(t, gauge("leases.s.age"))
}

// Guards against VMs that all send their first requests to the same target.
func TestVMsStartWithDifferentTargets(t *testing.T) {
	turn := func(vm string) int {
		s := &Settings{Store: "127.0.0.1:1"}
		s.VM, s.Peers = vm, "127.0.0.1:1"
		return newGateway(s, fakeAdapter{store: unavailableStore{}}, newManualClock(0), discardLogger(), metrics.NewRegistry()).state.startIndex
	}
	require.NotEqual(t, turn("a"), turn("b"))
}
