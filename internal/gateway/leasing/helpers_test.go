package leasing

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/gateway/published"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
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

// state is the leases that a VM knows.
type state struct{ leases *published.Leases }

func testState(clock *manualClock) *state {
	return &state{leases: published.New(clock, metrics.NewRegistry(), func() {})}
}

func (s *state) routingOf(service string) *lease.Routing { return s.leases.Get(service) }
func (s *state) updateRouting(u *lease.Update) bool      { return s.leases.Update(u) }

func (s *state) setOwner(service string, epoch, seq uint64, owner string, state lease.SliceState) {
	r := lease.Record{Service: service, Epoch: epoch, Slices: []lease.Slice{{From: 0, To: 65535, Owner: lease.Owner{ID: owner}}}}
	s.leases.Set(lease.NewRouting(r, seq, func(int) lease.SliceState { return state }))
}

// node is the VM of a grantor without goroutines or targets. Its store is down at first.
type node struct {
	*Manager
	mesh    *mesh.Mesh
	state   *state
	storeUp atomic.Bool
	leaving atomic.Bool
	endsIn  atomic.Int64
	tags    atomic.Uint64
}

func testNode(clock *manualClock) *node {
	n := &node{state: testState(clock)}
	self := mesh.Member{VM: "self", Addr: "127.0.0.1:1", DataCentre: "a", Incarnation: uint64(time.Now().UnixNano())}
	n.mesh = mesh.New(self, clock, discardLogger())
	n.Manager = New(context.Background(), Deps{
		Self: self, Clock: clock, Log: discardLogger(), Registry: metrics.NewRegistry(), MaxHold: 10 * time.Second,
		Store: &fakeStore{}, StoreTimeout: time.Second, StoreRetryDelay: 400 * time.Millisecond,
		Mesh: n.mesh, Leases: n.state.leases, LocalState: localState{n}, TargetDirectory: emptyDirectory{}, OrderCodec: jsonOrderCodec{},
		TargetIDHeader: "Target", InstanceIDHeader: "Instance",
	})
	n.mesh.Start(n)
	n.storeUp.Store(true)
	n.endsIn.Store(int64(time.Minute))
	clock.advance(discoveryTime)
	return n
}

func (n *node) receive(b mesh.Heartbeat) {
	var reply mesh.Heartbeat
	_ = mesh.Service{Mesh: n.mesh}.Heartbeat(&b, &reply)
}

// Heartbeat implements mesh.Local.
func (n *node) Heartbeat() mesh.Heartbeat {
	return mesh.Heartbeat{From: n.Self, Leaving: n.leaving.Load(), StoreLost: !n.storeUp.Load(), Leases: n.state.leases.Versions()}
}

// OnHeartbeat implements mesh.Local.
func (*node) OnHeartbeat(mesh.Heartbeat, time.Duration) {}

// localState is the state of a node that ranks last in every succession.
type localState struct{ n *node }

func (s localState) StoreUp() bool                { return s.n.storeUp.Load() }
func (s localState) StoreReachable() bool         { return s.n.storeUp.Load() }
func (s localState) TargetsListed() bool          { return true }
func (s localState) Leaving() bool                { return s.n.leaving.Load() }
func (s localState) TimeUntilExit() time.Duration { return time.Duration(s.n.endsIn.Load()) }
func (s localState) SuccessionRank(string) int    { return s.n.mesh.Size() - 1 }
func (s localState) ReachesOwners(string) bool    { return true }
func (s localState) WriteID() string              { return strconv.FormatUint(s.n.tags.Add(1), 10) }

// firstEpoch returns the record of a service for which no grant was ever sent before.
func firstEpoch(r lease.Record) lease.Record {
	r.Earlier = lease.NoArrival
	return r
}

// emptyDirectory is a directory without routes and targets.
type emptyDirectory struct{}

func (emptyDirectory) View() *catalog.View {
	return catalog.NewView(nil, catalog.Targets{}, catalog.Evacuations{})
}
func (emptyDirectory) ReadTarget(platform.Object) (catalog.Target, bool) {
	return catalog.Target{}, false
}
func (emptyDirectory) Warming(string) bool                          { return false }
func (emptyDirectory) Limit(string) (float64, bool)                 { return 0, false }
func (emptyDirectory) Refusing(string) bool                         { return false }
func (emptyDirectory) RecordAnswer(lease.Owner, *upstream.Answer)   {}
func (emptyDirectory) Slots(string) int                             { return 0 }
func (emptyDirectory) MeanServiceTime(string) (time.Duration, bool) { return 0, false }
func (emptyDirectory) WarmupCost(string) float64                    { return 1 }
func (emptyDirectory) TakeKeyLoad(string) KeyLoad                   { return KeyLoad{} }

// jsonOrderCodec encodes orders as JSON.
type jsonOrderCodec struct{}

func (jsonOrderCodec) TargetKind() model.Kind { return "targets" }

func (jsonOrderCodec) Order(o lease.Order) (*upstream.Request, error) {
	body, err := json.Marshal(o)
	return &upstream.Request{Method: http.MethodPost, URI: "/order", Host: o.Target.Addr, Body: body, Header: http.Header{}}, err
}

func (jsonOrderCodec) OrderResult(a *upstream.Answer) (lease.Result, string, error) {
	if a.Status == http.StatusOK {
		return lease.Done, a.Header.Get("Handover"), nil
	}
	return lease.Fenced, "", nil
}

// fakeStore holds one record and accepts every write of it, or is down.
type fakeStore struct {
	up     atomic.Bool
	record platform.Object
}

func (s *fakeStore) Get(context.Context, platform.ID) (platform.Object, error) {
	if !s.up.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.record.Spec == nil {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.record, nil
}

func (s *fakeStore) Put(_ context.Context, o platform.Object) (platform.Object, error) {
	if !s.up.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	s.record = o
	return o, nil
}

func (s *fakeStore) ListKind(context.Context, model.Kind) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}
