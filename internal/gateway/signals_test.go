package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// newSignalsGateway returns a gateway with the owner of all keys of a service.
func newSignalsGateway() (*Gateway, *manualClock, *targetState) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	g.state.setTargets(1, catalog.Target{ID: "t", Service: "keyed", Addr: "127.0.0.1:1", Slots: 4, Born: 1, Revision: 1})
	g.state.setOwner("keyed", 1, 1, "t", lease.Served)
	return g, clock, g.state.targets["t"]
}

func (g *Gateway) reserveForTest() (*attempt, refusal) {
	a, reason, _ := g.state.reserveOwner("keyed", &route.Route{Name: "r"}, 1, mesh.LeaseVersion{}, time.Second)
	return a, reason
}

// Guards against a header that is read in one kind of response only.
func TestEveryKindOfResponseTellsThatATargetLeavesOrRests(t *testing.T) {
	for _, from := range []received{{kind: toRequest}, {kind: toInquiry}, {kind: toOrder}, {kind: throughPeer, peer: "other"}} {
		g, _, target := newSignalsGateway()
		g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Leaving": {"1"}, "Rest": {"3s"}}}, from)
		require.True(t, g.state.view.Load().ByID["t"].Leaving, from.kind)
		require.Empty(t, g.state.view.Load().ByService["keyed"], "others may own its keys")
		require.Equal(t, 1, target.pushback.VMs(g.clock.Now()), from.kind)
		require.Equal(t, from.kind != throughPeer, target.pushback.Left(g.clock.Now()) > 0, "the rest of another VM is not this one's")
		g.mesh.Close()
	}
}

// Guards against a request that was reserved before its target said that it wants none, and sent after that.
func TestLastCheckStandsRightBeforeTheSend(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	a, reason := g.reserveForTest()
	require.Equal(t, notRefused, reason)
	g.applySignals(target, &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Leaving": {"1"}}}, received{kind: toRequest})
	require.Equal(t, notRefused, g.state.admit(a.target, sentOwn), "its keys may have no other owner yet")
	clock.advance(drainingOwnerGrace + time.Millisecond)
	for _, kind := range []sentKind{sentOwn, sentForwarded, sentInquiries} {
		require.NotEqual(t, notRefused, g.state.admit(a.target, kind), kind)
	}
	_, reason = g.reserveForTest()
	require.Equal(t, refusedLost, reason)
}

// Guards against a request that is sent after a dial during which its target said that it wants none.
func TestNothingIsSentIfTheTargetRefusesDuringTheDial(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	defer g.mesh.Close()
	var written atomic.Int64
	g.state.openConn = func(context.Context, string) (net.Conn, error) {
		g.applySignals(g.state.incarnation("t", 1), &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Rest": {"3s"}}}, received{kind: toOrder})
		near, far := net.Pipe()
		go func() {
			n, _ := io.Copy(io.Discard, far)
			written.Add(n)
		}()
		return near, nil
	}
	g.state.setTargets(1, catalog.Target{ID: "t", Service: "keyed", Addr: "t:1", Slots: 4, Born: 1, Revision: 1})
	g.state.setOwner("keyed", 1, 1, "t", lease.Served)
	a, reason := g.reserveForTest()
	require.Equal(t, notRefused, reason)
	c := &call{route: &route.Route{}, request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: make(http.Header)}, deadline: time.Now().Add(time.Second), tried: make(map[string]bool)}
	require.Nil(t, g.attempt(t.Context(), c, a), "the owner is looked up again")
	require.Equal(t, refusedResting, a.withheld)
	require.Zero(t, c.delivered)
	require.Zero(t, a.target.pick.Own)
	_, err := g.ask(t.Context(), a, time.Second)
	require.ErrorIs(t, err, errNotAdmitted)
	a.pool.Close()
	require.Zero(t, written.Load())
}

// Guards against a leaving target that is used again because of a list, a response without the header, or its entry's return.
func TestOnlyTheEndOfATargetEndsItsLeaving(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	g.applySignals(target, &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Leaving": {"1"}}}, received{kind: toRequest})
	g.applySignals(target, &upstream.Answer{Status: http.StatusOK, Header: http.Header{}}, received{kind: toRequest, sentAt: clock.Now()})
	ready := catalog.Target{ID: "t", Service: "keyed", Addr: "127.0.0.1:1", Slots: 5, Born: 1, Revision: 9}
	g.state.setTargets(9, ready)
	require.True(t, g.state.view.Load().ByID["t"].Leaving)
	g.state.setTargets(10)
	require.Nil(t, g.state.view.Load().ByID["t"])
	ready.Revision = 11
	g.state.setTargets(11, ready)
	require.True(t, g.state.view.Load().ByID["t"].Leaving)
	next := ready
	next.Born, next.Revision = 2, 12
	g.state.setTargets(12, next)
	require.False(t, g.state.view.Load().ByID["t"].Leaving, "a new incarnation")
	g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Leaving": {"1"}, "Rest": {"3s"}}}, received{kind: toRequest})
	require.False(t, g.state.view.Load().ByID["t"].Leaving, "a late response of the old incarnation")
	require.Zero(t, g.state.targets["t"].pushback.VMs(clock.Now()))
}

// Guards against a VM that forgets what a target told it when the target's entry lapses and returns.
func TestEntryThatReturnsKeepsWhatTheTargetSaid(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Leaving": {"1"}, "Rest": {"30s"}}}, received{kind: toRequest})
	g.state.setTargets(2)
	clock.advance(2 * drainingOwnerGrace)
	entry := catalog.Target{ID: "t", Service: "keyed", Addr: "127.0.0.1:1", Slots: 4, Born: 1, Revision: 3}
	g.state.setTargets(3, entry)
	_, reason := g.reserveForTest()
	require.Equal(t, refusedLost, reason)
	require.Positive(t, g.state.targets["t"].pushback.Left(clock.Now()))
	entry.Born, entry.Revision = 2, 4
	g.state.setTargets(4, entry)
	_, reason = g.reserveForTest()
	require.Equal(t, notRefused, reason, "a new incarnation")
}

// Guards against keys that are refused by a VM which no response has told, while only their owner can serve them.
func TestVMThatOthersToldStillSendsToTheOwnerOfAKey(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	g.mergeReport(mesh.TargetReport{Target: "t", Born: 1, Leaving: true, RestLeft: 3 * time.Second}, "other", true)
	require.True(t, g.state.view.Load().ByID["t"].Leaving)
	require.Equal(t, 1, target.pushback.VMs(clock.Now()))
	clock.advance(2 * drainingOwnerGrace)
	_, reason := g.reserveForTest()
	require.Equal(t, notRefused, reason)
	g.mergeReport(mesh.TargetReport{Target: "t", Born: 2, Leaving: true, RestLeft: time.Hour}, "third", true)
	require.Zero(t, target.pushback.VMs(clock.Now()), "another incarnation, and the first rest is over")
}

// Guards against other VMs that never hear what a target has said, or hear it for ever.
func TestOtherVMsAreToldWhatATargetSaid(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	require.Empty(t, g.Heartbeat().TargetReports)
	g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Leaving": {"1"}, "Rest": {"3s"}}}, received{kind: toRequest})
	require.Equal(t, []mesh.TargetReport{{Target: "t", Born: 1, Leaving: true, RestLeft: 3 * time.Second}}, g.Heartbeat().TargetReports)
	clock.advance(leavingReportedFor)
	require.Empty(t, g.Heartbeat().TargetReports)
	require.Empty(t, g.state.toReport)
}

// Guards against a grantor that takes all owners for refusing before it knows the other VMs, or one for it by its own word alone.
func TestTargetRefusesIfSeveralVMsSaySo(t *testing.T) {
	g, clock, target := newSignalsGateway()
	defer g.mesh.Close()
	refusing := func() bool { return leasingAdapter{g}.Refusing("t") }
	require.False(t, refusing(), "no VM is known, and nothing was refused")
	g.mesh.Add(mesh.Member{VM: "other", Addr: "127.0.0.1:2", Incarnation: 1})
	g.state.setHolders(g.mesh.Members())
	target.pushback.Refused(3*time.Second, 0, clock.Now())
	require.False(t, refusing())
	g.mergeReport(mesh.TargetReport{Target: "t", Born: 1, RestLeft: time.Second}, "other", true)
	require.True(t, refusing())
	clock.advance(2 * time.Second)
	require.False(t, refusing())
}

// Guards against pool targets that refuse other VMs and are asked by each VM in turn, and against requests that have no other target.
func TestTargetThatRefusesOtherVMsIsTheLastResortOfAPool(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	targets := []catalog.Target{{ID: "a", Service: "pool", Addr: "127.0.0.1:1", Slots: 4, Born: 1}, {ID: "b", Service: "pool", Addr: "127.0.0.1:2", Slots: 4, Born: 1}}
	g.state.setTargets(1, targets...)
	rt := &route.Route{Name: "r"}
	g.mergeReport(mesh.TargetReport{Target: "a", Born: 1, RestLeft: time.Second}, "other", true)
	for range 8 {
		a, reason := g.state.reserveFromPool("pool", rt, nil, time.Second, clock.Now())
		require.Equal(t, notRefused, reason)
		require.Equal(t, "b", a.id)
		g.release(a)
	}
	a, reason := g.state.reserveFromPool("pool", rt, map[string]bool{"b": true}, time.Second, clock.Now())
	require.Equal(t, notRefused, reason)
	g.applySignals(a.target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Rest": {"2s"}}}, received{kind: toRequest})
	g.release(a)
	_, reason = g.state.reserveFromPool("pool", rt, map[string]bool{"b": true}, time.Second, clock.Now())
	require.Equal(t, refusedResting, reason)
	require.Equal(t, []string{"a"}, g.state.restingTargets("pool"), "no other VM is to send there in place of this one")
}

// Guards against callers of a resting owner that wait for its rest although its keys move, or all return at one moment.
func TestCallersOfARestingOwnerReturnSpreadAndSoon(t *testing.T) {
	g, _, target := newSignalsGateway()
	defer g.mesh.Close()
	g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Rest": {"30s"}}}, received{kind: toRequest})
	seen := make(map[time.Duration]bool)
	for range 50 {
		wait := g.restRetryAfter(&call{service: "keyed", keyed: true, key: 1})
		require.LessOrEqual(t, wait, maxRetryAfter)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 40)
}
