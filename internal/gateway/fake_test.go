package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// fakeAdapter is a platform whose objects are our own types in JSON.
type fakeAdapter struct{ store platform.ObjectStore }

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

func (fakeAdapter) Order(o lease.Order) (*upstream.Request, error) {
	body, err := json.Marshal(o)
	return &upstream.Request{Method: http.MethodPost, URI: "/order", Host: o.Target.Addr, Body: body, Header: http.Header{}}, err
}

func (fakeAdapter) OrderResult(a *upstream.Answer) (lease.Result, string, error) {
	if a.Status == http.StatusOK {
		return lease.Done, a.Header.Get("Handover"), nil
	}
	return lease.Fenced, "", nil
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

func (s *state) routingOf(service string) *lease.Routing { return s.leases.Of(service) }
func (s *state) updateRouting(u *lease.Update) bool      { return s.leases.Update(u) }
