package gateway

import (
	"context"
	"encoding/json"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
)

// fakeAdapter is a platform whose objects are our own types in JSON. It translates no
// orders: a gateway that gives none needs none.
type fakeAdapter struct {
	Adapter
	store platform.ObjectStore
}

func (a fakeAdapter) Store(string) platform.ObjectStore { return a.store }
func (fakeAdapter) ConfigID() platform.ID               { return platform.ID{Kind: "config", Name: "main"} }
func (fakeAdapter) TargetKind() model.Kind              { return "targets" }

func (fakeAdapter) Config(o platform.Object) (*route.Config, error) {
	c := new(route.Config)
	return c, json.Unmarshal(o.Spec, c)
}

func (fakeAdapter) Target(o platform.Object) (catalog.Target, error) {
	var t catalog.Target
	return t, json.Unmarshal(o.Spec, &t)
}

func (fakeAdapter) Headers() Headers {
	return Headers{RequestID: "Id", DeadlineMs: "Deadline", Key: "Key", TargetID: "Target", InstanceID: "Instance", NotRun: "Not-Run"}
}

// downStore is a store that answers nothing.
type downStore struct{}

func (downStore) Get(context.Context, platform.ID) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (downStore) Put(context.Context, platform.Object) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (downStore) ListKind(context.Context, model.Kind) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

func (downStore) WatchKind(context.Context, model.Kind, uint64, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrUnavailable
}

func (s *routingState) routingOf(service string) *lease.Routing { return s.leases.Get(service) }
func (s *routingState) updateRouting(u *lease.Update) bool      { return s.leases.Update(u) }

// testGateway is a gateway without goroutines, listeners or a store that answers.
func testGateway(clock *handClock) *Gateway { return testGatewayWithLink(clock, 0) }

func testGatewayWithLink(clock *handClock, mbps float64) *Gateway {
	return testGatewayNamed(clock, "self", mbps)
}

func testGatewayNamed(clock *handClock, name string, mbps float64) *Gateway {
	s := &Settings{Store: "127.0.0.1:1", LinkMbps: mbps, MemoryMB: defaultMemory}
	s.VM, s.DataCentre, s.Peers = name, "a", "127.0.0.1:1"
	n := newGateway(s, fakeAdapter{store: downStore{}}, clock, quiet(), metrics.NewRegistry())
	n.mesh.Start(n)
	n.storeUp.Store(true)
	return n
}

func (g *Gateway) receive(b mesh.Heartbeat) {
	var reply mesh.Heartbeat
	_ = mesh.Service{Mesh: g.mesh}.Heartbeat(&b, &reply)
}
