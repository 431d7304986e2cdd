package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// newLimitedGateway returns a gateway with a target that has stated a limit of 3.4 requests per second.
func newLimitedGateway() (*Gateway, *manualClock, *attempt) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	g.state.setTargets(1, catalog.Target{ID: "t", Service: "pool", Addr: "127.0.0.1:1", Born: 1})
	a := &attempt{target: g.state.targets["t"], id: "t"}
	g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Limit": {"3.4"}}}, clock.Now())
	clock.advance(time.Second)
	return g, clock, a
}

// recordLimit applies a response to a request.
func (g *Gateway) recordLimit(a *attempt, resp *upstream.Answer, sentAt time.Duration) {
	g.applySignals(a.target, resp, received{kind: toRequest, sentAt: sentAt})
}

// recordStatedLimit applies a response to an order.
func (g *Gateway) recordStatedLimit(t *targetState, h http.Header) {
	g.applySignals(t, &upstream.Answer{Status: http.StatusOK, Header: h}, received{kind: toOrder})
}

func (g *Gateway) limitOf(target string) permit.Belief { return g.state.targets[target].limit.Belief }

// Guards against a limit that ends with a response which never states one, or that belongs to another target.
func TestOnlyTheResponseToALaterRequestThatRanEndsALimit(t *testing.T) {
	g, clock, a := newLimitedGateway()
	defer g.mesh.Close()
	none := http.Header{}
	for _, resp := range []*upstream.Answer{
		{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}},
		{Status: http.StatusMisdirectedRequest, Header: http.Header{"Instance": {"other"}}},
		{Status: http.StatusMisdirectedRequest, Header: none},
		{Status: http.StatusOK, Header: http.Header{"Limit": {"few"}}},
	} {
		g.recordLimit(a, resp, clock.Now())
		require.True(t, g.limitOf("t").Limited, "%+v", resp)
	}
	g.recordStatedLimit(a.target, none)
	g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: none}, clock.Now()-2*time.Second)
	require.True(t, g.limitOf("t").Limited, "an inquiry, or a request that was sent earlier")
	require.EqualValues(t, 1, g.limits.malformed.Count())
	g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: none}, clock.Now())
	require.False(t, g.limitOf("t").Limited)
}

// Guards against a target that starts again and keeps the limit of its previous incarnation.
func TestNewIncarnationOfATargetHasNoLimit(t *testing.T) {
	g, clock, _ := newLimitedGateway()
	defer g.mesh.Close()
	report, _ := g.state.targets["t"].limit.Report(clock.Now())
	g.state.setTargets(2, catalog.Target{ID: "t", Service: "pool", Addr: "127.0.0.1:1", Born: 2})
	require.False(t, g.limitOf("t").Limited)
	g.mergeLimit(mesh.TargetReport{Target: "t", Born: 1, Limit: report}, true)
	require.False(t, g.limitOf("t").Limited, "reported by a VM that knows the previous one")
}

// Guards against a VM that grants permits although it does not know the others, or is leaving.
func TestVMThatDoesNotKnowTheOthersGrantsNoPermits(t *testing.T) {
	g, clock, _ := newLimitedGateway()
	defer g.mesh.Close()
	g.state.setHolders(g.mesh.Members())
	report, _ := g.state.targets["t"].limit.Report(clock.Now())
	ask := &PermitArgs{VM: "other", Report: mesh.TargetReport{Target: "t", Born: 1, Limit: report}}
	holds := func() bool {
		var reply PermitReply
		require.NoError(t, Permits{g}.Ask(ask, &reply))
		return reply.Holds
	}
	require.False(t, holds())
	g.joined.Store(true)
	require.True(t, holds())
	g.leaving.Store(true)
	require.False(t, holds())
}

// Guards against a header that targets send and nobody reads, as the one with their limit was.
func TestHeadersThatAreNotReadAreNoticedOnce(t *testing.T) {
	g, _, _ := newLimitedGateway()
	defer g.mesh.Close()
	h := http.Header{"Id": {"1"}, "Date": {"x"}, "Server-Mood": {"low"}}
	require.Equal(t, []string{"Server-Mood"}, g.unreadHeaders.add(h))
	require.Empty(t, g.unreadHeaders.add(h))
}

// Guards against a holder that counts as lost because the caller of one request left while it was asked.
func TestCallerThatLeavesShowsNothingOfTheHolder(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		p.targets["owner"].setLimit("3.4")
		p.offer("keyed", 20, 2*time.Second).Wait()
		holder, vm := p.holder("owner"), p.vms[0]
		if holder == vm {
			vm = p.vms[1]
		}
		args, order, _, limited := vm.state.permitRequest(vm.state.incarnation("owner", 1), 0)
		require.True(t, limited)
		left, leave := context.WithCancel(vm.ctx)
		leave()
		vm.askHolders(left, order, args, time.Second)
		vm.askHolders(vm.ctx, order, args, time.Millisecond)
		require.False(t, vm.permitCalls.failedLately(holder.self.VM, vm.clock.Now()))
		p.setDown(holder, true)
		vm.askHolders(vm.ctx, order, args, time.Second)
		require.True(t, vm.permitCalls.failedLately(holder.self.VM, vm.clock.Now()))
	})
}

// Guards against a limit that is set by a process which got the address of the target, or by an earlier incarnation.
func TestResponseOfAnotherTargetSetsNoLimit(t *testing.T) {
	g, clock, a := newLimitedGateway()
	defer g.mesh.Close()
	g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: http.Header{}}, clock.Now())
	foreign := http.Header{"Limit": {"1"}, "Instance": {"other"}}
	own := http.Header{"Limit": {"1"}, "Instance": {"t"}}
	g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: foreign}, clock.Now())
	leasingAdapter{g}.RecordAnswer(lease.Owner{ID: "t", Born: 1}, &upstream.Answer{Status: http.StatusOK, Header: foreign})
	leasingAdapter{g}.RecordAnswer(lease.Owner{ID: "t", Born: 2}, &upstream.Answer{Status: http.StatusOK, Header: own})
	for _, reply := range []*ForwardReply{{Target: "t", Born: 2, Header: own}, {Target: "t", Born: 1, Header: foreign}} {
		reply.Result, reply.Status = answeredToPeer, http.StatusOK
		c := &call{route: &route.Route{}, tried: make(map[string]bool)}
		g.concludeForwarded(context.Background(), c, &attempt{peer: "other"}, reply, nil)
	}
	require.False(t, g.limitOf("t").Limited)
	leasingAdapter{g}.RecordAnswer(lease.Owner{ID: "t", Born: 1}, &upstream.Answer{Status: http.StatusOK, Header: own})
	require.True(t, g.limitOf("t").Limited)
}

// Guards against a limit that VMs report to each other again and again as if each had just learned it.
func TestReportOfAReportIsNotFirstHand(t *testing.T) {
	g, _, _ := newLimitedGateway()
	defer g.mesh.Close()
	report := permit.Report{Limited: true, PerSecond: 9, Source: "third", Stamp: 1}
	args := &PermitArgs{VM: "other", Report: mesh.TargetReport{Target: "t", Born: 1, Limit: report}}
	require.NoError(t, Permits{g}.Notify(args, new(struct{})))
	require.Equal(t, 3.4, g.limitOf("t").PerSecond)
	args.VM = "third"
	require.NoError(t, Permits{g}.Notify(args, new(struct{})))
	require.Equal(t, 9.0, g.limitOf("t").PerSecond)
}

// Guards against a request without a permit to an owner whose answer to the inquiry first states a limit.
func TestRequestNeedsAPermitIfTheInquiryStatesALimit(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	targets["k"].limit.Store("0")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.RequestURI, r.Host = "/x", "short.example"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "1")
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.EqualValues(t, 1, targets["k"].inquiries.Load())
	require.Zero(t, targets["k"].ran.Load())
}

// Guards against health checks of targets that have asked for fewer requests.
func TestTargetWithALimitIsNotAskedWhetherItReportsItsLoad(t *testing.T) {
	b, _ := newAskedTestbed(t, "pool", "p")
	b.state.mu.Lock()
	delete(b.state.tellsLoad, "pool")
	b.state.mu.Unlock()
	require.Len(t, b.state.undiscoveredTargets(), 1)
	b.recordStatedLimit(b.state.incarnation("p", b.state.targets["p"].Born), http.Header{"Limit": {"1"}})
	require.Empty(t, b.state.undiscoveredTargets())
}

// Guards against requests that are refused because of what the holder decided under an earlier, lower limit.
func TestRaisedLimitEndsEarlierRefusals(t *testing.T) {
	g, clock, a := newLimitedGateway()
	defer g.mesh.Close()
	blocked := func() time.Duration {
		_, _, blocked, _ := g.state.permitRequest(a.target, 0)
		return blocked
	}
	state := func(limit string) {
		g.recordLimit(a, &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Limit": {limit}}}, clock.Now())
	}
	refuse := func() { g.state.recordDecision(a.target, false, permit.Decision{Blocked: 4 * time.Second}) }
	refuse()
	state("1")
	require.Equal(t, 4*time.Second, blocked())
	state("5")
	require.Zero(t, blocked())
	refuse()
	report := permit.Report{Limited: true, PerSecond: 9, Source: "other", Stamp: 1}
	clock.advance(time.Second)
	g.mergeLimit(mesh.TargetReport{Target: "t", Born: 1, Limit: report}, true)
	require.Zero(t, blocked(), "raised as another VM reports")
}
