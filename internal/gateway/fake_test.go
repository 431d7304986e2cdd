package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/signals"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// fakeAdapter is the adapter for a platform whose objects are the gateway's own types in JSON. It
// has no Order and OrderResult, because the gateways of these tests give no orders.
type fakeAdapter struct {
	Adapter
	store platform.ObjectStore
}

func (a fakeAdapter) Store(string, *budget.Share, *answers.Log) platform.ObjectStore { return a.store }
func (fakeAdapter) ConfigID() platform.ID                                            { return platform.ID{Kind: "config", Name: "main"} }
func (fakeAdapter) TargetKind() model.Kind                                           { return "targets" }
func (fakeAdapter) EvacuationKind() model.Kind                                       { return "evacuations" }

// Signals implements Adapter.
func (fakeAdapter) Signals(resp *upstream.Answer) (s signals.Signals) {
	h := resp.Header
	s.Sender, s.Leaving = h.Get("Instance"), h.Get("Leaving") != ""
	if text := h.Get("Load"); text != "" {
		_, s.LoadErr = fmt.Sscanf(text, "%d %d %d %f", &s.Load.Running, &s.Load.Waiting, &s.Load.Slots, &s.Load.Slowness)
		s.LoadReported = s.LoadErr == nil
	}
	if text := h.Get("Limit"); text != "" {
		s.PerSecond, s.LimitErr = strconv.ParseFloat(text, 64)
		s.Limited = s.LimitErr == nil
	}
	if text := h.Get("Rest"); text != "" && resp.Status == http.StatusServiceUnavailable {
		s.Rest, s.RestErr = time.ParseDuration(text)
	}
	ms, _ := strconv.Atoi(h.Get("Cold-Ms"))
	s.WarmupLeft = time.Duration(ms) * time.Millisecond
	return s
}

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

// unavailableStore is a store that never responds.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, platform.ID) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (unavailableStore) Put(context.Context, platform.Object) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (unavailableStore) ListKind(context.Context, model.Kind) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

func (unavailableStore) WatchKind(context.Context, model.Kind, uint64, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrUnavailable
}

func (s *routingState) routingOf(service string) *lease.Routing { return s.leases.Get(service) }
func (s *routingState) updateRouting(u *lease.Update) bool      { return s.leases.Update(u) }

// newTestGateway returns a gateway without goroutines and listeners, whose store never responds.
func newTestGateway(clock *manualClock) *Gateway { return newTestGatewayWithLink(clock, 0) }

func newTestGatewayWithLink(clock *manualClock, mbps float64) *Gateway {
	return newTestGatewayNamed(clock, "self", mbps)
}

func newTestGatewayNamed(clock *manualClock, name string, mbps float64) *Gateway {
	return newTestGatewayAt(clock, name, "127.0.0.1:1", mbps)
}

// newTestGatewayAt is newTestGatewayNamed with an address for other VMs.
func newTestGatewayAt(clock boottime.Clock, name, peers string, mbps float64) *Gateway {
	s := &Settings{Store: "127.0.0.1:1", LinkMbps: mbps, MemoryMB: defaultMemoryMB}
	s.VM, s.DataCentre, s.Peers = name, "a", peers
	g := newGateway(s, fakeAdapter{store: unavailableStore{}}, clock, discardLogger(), metrics.NewRegistry())
	g.mesh.Start(g)
	g.storeUp.Store(true)
	return g
}

func (g *Gateway) receiveHeartbeat(b mesh.Heartbeat) {
	var reply mesh.Heartbeat
	_ = mesh.Service{Mesh: g.mesh}.Heartbeat(&b, &reply)
}
