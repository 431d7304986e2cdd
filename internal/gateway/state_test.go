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

// handClock is moved by the test.
type handClock struct{ now atomic.Int64 }

func newHandClock(now time.Duration) *handClock {
	c := new(handClock)
	c.advance(now)
	return c
}

func (c *handClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *handClock) advance(d time.Duration) { c.now.Add(int64(d)) }

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func testState(clock *handClock) *routingState {
	return newRoutingState(clock, quiet(), metrics.NewRegistry(), "a", repeats.Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
}

func (s *routingState) list(revision uint64, targets ...catalog.Target) {
	for i := range targets {
		targets[i].Revision = revision
	}
	s.changeTargets("test", func(m *catalog.TargetSet, now time.Duration) {
		m.Replace(catalog.Targets{Revision: revision, List: targets}, now)
	})
}

func (s *routingState) own(service string, epoch, seq uint64, owner string, state lease.SliceState) {
	r := lease.Record{Service: service, Epoch: epoch, Slices: []lease.Slice{{From: 0, To: 65535, Owner: lease.Owner{ID: owner}}}}
	s.leases.Set(lease.NewRouting(r, seq, func(int) lease.SliceState { return state }))
}

// Guards against requests to a target that left while nobody could move its keys.
func TestLeavingOwnerGetsRequestsForAShortWhileOnly(t *testing.T) {
	clock := newHandClock(time.Hour)
	s := testState(clock)
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2}
	s.list(1, target)
	s.own("s", 1, 1, "t", lease.Served)
	target.Draining = true
	s.list(2, target)

	e, why, _ := s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedNone, why, "until the key has another owner, this one serves it")
	s.finish(e, endLeft)

	clock.advance(leavingMost + time.Millisecond)
	_, why, _ = s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, why)
}

func TestKeyOnTheMoveIsNotSent(t *testing.T) {
	s := testState(newHandClock(0))
	s.list(1, catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2})
	s.own("s", 1, 2, "t", lease.Moving)
	_, why, _ := s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedMoving, why)
	s.own("s", 1, 1, "t", lease.Served)
	_, why, _ = s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedMoving, why, "older leases change nothing")
	s.own("s", 2, 1, "t", lease.Served)
	_, why, _ = s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedNone, why)
}

// Guards against connections and speeds of the last life of a target.
func TestNewLifeOfATargetStartsUnknown(t *testing.T) {
	s := testState(newHandClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.list(1, target)
	first := s.targets["t"]
	first.pick.ConnectFailed(0)
	target.Born = 2
	s.list(2, target)
	require.NotSame(t, first.pool, s.targets["t"].pool)
	require.False(t, s.targets["t"].pick.BackingOff(time.Millisecond))
}

// Guards against requests, and repeats, at a target of another service that got the address.
func TestDisplacedTargetGetsNoRequests(t *testing.T) {
	s := testState(newHandClock(0))
	target := catalog.Target{ID: "t", Service: "s", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	s.list(1, target)
	s.own("s", 1, 1, "t", lease.Served)
	e, _, _ := s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	a := &upstream.Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"Instance": {"other"}}}
	h := fakeAdapter{}.Headers()
	require.True(t, h.another(a, "t"))
	require.False(t, h.another(a, "other"), "a target that does not hold the key is no other")
	s.displaced(e)
	_, why, _ := s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedLost, why)
	_, why = s.chooseFromPool("s", &route.Route{}, nil, time.Second, 0)
	require.Equal(t, refusedFull, why)
	target.Born = 2
	s.list(2, target)
	_, why, _ = s.chooseOwner("s", &route.Route{Name: "r"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedNone, why, "a new life answers there")
}

func TestAgesOfWhatIsBelievedAreShown(t *testing.T) {
	clock := newHandClock(time.Hour)
	n := testGateway(clock)
	defer n.mesh.Close()
	n.state.setConfig(&route.Config{Version: 3}, "test")
	clock.advance(2 * time.Second)
	n.state.own("s", 1, 1, "t", lease.Served)
	clock.advance(3 * time.Second)
	gauge := func(name string) int64 { return n.registry.Get(name).(metrics.Gauge).Value() }
	require.EqualValues(t, 5000, gauge("config.age"))
	require.EqualValues(t, 3000, gauge("leases.s.age"))
	n.state.own("s", 1, 2, "u", lease.Served)
	require.Zero(t, gauge("leases.s.age"))
}

// Guards against first requests of all VMs at the same target.
func TestVMsBeginWithDifferentTargets(t *testing.T) {
	turn := func(vm string) int {
		s := &Settings{Store: "127.0.0.1:1"}
		s.VM, s.Peers = vm, "127.0.0.1:1"
		return newGateway(s, fakeAdapter{store: downStore{}}, newHandClock(0), quiet(), metrics.NewRegistry()).state.turn
	}
	require.NotEqual(t, turn("a"), turn("b"))
}
