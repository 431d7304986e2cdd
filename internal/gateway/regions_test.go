package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

var testRegions = map[string]string{"a": "north", "b": "south"}

// Guards against requests whose data must stay in a region and that are sent to targets elsewhere.
func TestRequestsStayInTheirRegions(t *testing.T) {
	s := newTwoDataCentres(newManualClock(time.Hour))
	s.regions = testRegions
	south := &route.Route{Name: "r", Regions: []string{"south"}}
	for range 5 {
		a, _ := s.reserveFromPool("pool", south, nil, time.Second, s.clock.Now())
		require.Equal(t, "p-b", a.id)
		s.finish(a, resultAbandoned)
	}
	_, reason := s.reserveFromPool("pool", south, map[string]bool{"p-b": true}, time.Second, s.clock.Now())
	require.Equal(t, refusedFull, reason, "refused rather than sent elsewhere")
	_, reason, _ = s.reserveOwner("keyed", south, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, refusedRegion, reason)
	_, reason, _ = s.reserveOwner("keyed", &route.Route{Name: "r", Regions: []string{"north", "south"}}, 1, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, notRefused, reason)
	s.regions = nil
	_, reason = s.reserveFromPool("pool", south, nil, time.Second, s.clock.Now())
	require.Equal(t, refusedFull, reason, "a data centre of unknown region is in none")
}

// Guards against bodies that are sent to a VM in another region, which forwards them.
func TestRequestsAreForwardedOnlyWithinTheirRegions(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	g.state.regions = testRegions
	g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: "far", Addr: "127.0.0.1:1", Incarnation: 1, DataCentre: "b"}})
	choose := func(regions ...string) *mesh.Member {
		vm, _ := g.choosePeer(&call{service: "pool", route: &route.Route{Regions: regions}}, nil)
		return vm
	}
	require.NotNil(t, choose())
	require.NotNil(t, choose("south"))
	require.Nil(t, choose("north"))
	args := g.forwardArgs(&call{route: &route.Route{Regions: []string{"north"}}, request: &upstream.Request{Header: http.Header{}}}, time.Second)
	require.Equal(t, []string{"north"}, g.forwardedCall(args).route.Regions, "the other VM keeps to them as well")
}

// Guards against a mistyped region that lets requests be processed anywhere or takes other routes down.
func TestUnknownRegionCostsItsRouteOnly(t *testing.T) {
	b := newTestbed(t)
	b.state.regions = testRegions
	b.addTarget("t", "pool", succeed)
	splits := []route.Split{{Service: "pool", Weight: 1}}
	c := &route.Config{Version: 9, Services: map[string]route.Service{"pool": {Name: "pool"}}, Limits: route.Limits{BodyBytes: 100}, Routes: []route.Route{
		{Name: "good", Host: "good.example", Prefix: "/", Timeout: time.Second, MaxTargets: 1, Splits: splits},
		{Name: "typo", Host: "typo.example", Prefix: "/", Timeout: time.Second, MaxTargets: 1, Splits: splits, Regions: []string{"nroth"}},
	}}
	b.state.setConfig(c, "test")
	require.Len(t, c.Unread, 1)
	require.Equal(t, http.StatusOK, b.send("good.example", nil, "").StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, b.send("typo.example", nil, "").StatusCode)
}
