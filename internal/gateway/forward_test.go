package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/route"
	"hemlockquay/internal/standin/link"
	"hemlockquay/internal/upstream"
)

// newForwardingFleet returns a fleet whose first VM knows that it is cut off from all targets.
func newForwardingFleet(t *testing.T) *cutFleet {
	f := newCutFleet(t)
	f.eachLink((*link.Link).Refuse, "")
	for _, target := range f.cut.state.targets {
		require.Error(t, f.cut.dial(t.Context(), target))
	}
	require.True(t, f.cut.state.cutOff())
	return f
}

// Guards against a forwarded request that loses its body or headers, or runs twice.
func TestForwardedRequestArrivesUnchanged(t *testing.T) {
	f := newForwardingFleet(t)
	body := strings.Repeat("b\x00", 40)
	f.handle(func(w http.ResponseWriter, r *http.Request) {
		got := make([]byte, len(body)+1)
		n, _ := r.Body.Read(got)
		require.Equal(t, body, string(got[:n]))
		require.Equal(t, "/x?y=1", r.RequestURI)
		require.Equal(t, "once.example", r.Host)
		require.Equal(t, []string{"1", "2"}, r.Header["Custom"])
		w.Header().Set("Stamp", "s")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("answer"))
	})
	resp := f.cut.send("once.example", http.Header{"Custom": {"1", "2"}}, body)
	require.Equal(t, http.StatusTeapot, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get("Stamp"))
	require.EqualValues(t, len("answer"), resp.ContentLength)
	require.Equal(t, 1, f.runs("r-1"))
}

// Guards against a target that works longer on a forwarded request than its caller waits.
func TestDeadlineOfForwardedRequestShrinks(t *testing.T) {
	f := newForwardingFleet(t)
	f.handle(func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get("Deadline"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 500-int((responseMargin+hopMargin).Milliseconds()))
	})
	require.Equal(t, http.StatusOK, f.cut.send("once.example", http.Header{"Deadline": {"500"}}, "").StatusCode)
}

// Guards against requests that go round between VMs that are all cut off.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	f := newForwardingFleet(t)
	f.peer.mesh.Add(f.cut.self)
	f.loseAtPeer("k-0", "k-1", "k-2", "p-0", "p-1", "p-2")
	for _, host := range []string{"safe.example", "once.example", "keyed.example"} {
		resp := f.cut.send(host, http.Header{"Key": {"7"}}, "")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	require.Zero(t, f.peer.forwardMetrics.sent.Count())
}

// Guards against a refusal that says "not run" although another VM may have sent the request.
func TestRequestLostBetweenVMsMayHaveRun(t *testing.T) {
	f := newForwardingFleet(t)
	f.handle(func(_ http.ResponseWriter, r *http.Request) {
		go f.peer.peers.Close()
		<-r.Context().Done()
	})
	resp := f.cut.send("once.example", http.Header{"Deadline": {"400"}}, "")
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode)
	require.Equal(t, 1, f.runs("r-1"))
}

// Guards against a target that works on after the caller of a forwarded request has disconnected.
func TestForwardedRequestIsCancelledWithItsCaller(t *testing.T) {
	f := newForwardingFleet(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	f.handle(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	front := httptest.NewServer(f.cut.Gateway)
	defer front.Close()
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, front.URL+"/x", nil)
	require.NoError(t, err)
	req.Host = "patient.example"
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	leave()
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		t.Fatal("the target works on")
	}
}

// Guards against a target that runs a request whose cancellation overtook it on another connection.
func TestCancellationThatArrivesFirstIsRemembered(t *testing.T) {
	f := newForwardingFleet(t)
	args := f.cut.forwardArgs(&call{route: &route.Route{}, service: "pool", request: &upstream.Request{Method: http.MethodGet, URI: "/"}, id: "r-1"}, time.Second)
	require.NoError(t, (Forward{f.peer.Gateway}).Cancel(&args.ForwardID, nil))
	var reply ForwardReply
	require.NoError(t, (Forward{f.peer.Gateway}).Send(args, &reply))
	require.Equal(t, string(refusedCancelled), reply.Refusal)
	require.Zero(t, f.runs("r-1"))
	require.Empty(t, f.peer.forwarded.cancelled)
}

// Guards against a VM that counts as not reaching a service because one of its targets is down.
func TestOtherVMTriesFurtherTargetsOfThePool(t *testing.T) {
	f := newForwardingFleet(t)
	f.loseAtPeer("p-0", "p-1")
	require.Equal(t, http.StatusOK, f.cut.send("once.example", nil, "").StatusCode)
	require.Equal(t, 1, f.runs("r-1"))
}

// Guards against an answer that leaves open whether a request ran that a VM of an older version refused.
func TestVMThatDoesNotForwardCountsAsNotSent(t *testing.T) {
	f := newForwardingFleet(t)
	old, err := peer.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(old.Close)
	go old.Serve()
	member := mesh.Member{VM: "old", Addr: old.Addr(), DataCentre: "a", Incarnation: 1}
	f.cut.receiveHeartbeat(mesh.Heartbeat{From: member})
	f.peer.forwarded.drain()
	require.Equal(t, http.StatusServiceUnavailable, f.cut.send("once.example", nil, "").StatusCode)
}

// Guards against VMs that count as lost because a caller disconnected before its request was forwarded.
func TestCallerThatLeavesSaysNothingAboutOtherVMs(t *testing.T) {
	f := newForwardingFleet(t)
	ended, leave := context.WithCancel(t.Context())
	leave()
	c := &call{
		id: "r-0", service: "pool", route: &route.Route{Name: "once", MaxTargets: 2}, tried: make(map[string]bool), unreached: make(map[string]bool),
		deadline: time.Now().Add(time.Second), request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: http.Header{}},
	}
	out := f.cut.attemptThroughPeers(ended, c)
	require.NotNil(t, out)
	require.Equal(t, reasonCallerLeft, out.reason)
	require.Zero(t, f.runs("r-0"))
	require.Equal(t, http.StatusOK, f.cut.send("once.example", nil, "").StatusCode)
}

// Guards against a VM that counts as lost because a caller disconnected after its request was forwarded.
func TestCallerThatLeavesDuringAForwardSaysNothingAboutTheOtherVM(t *testing.T) {
	f := newForwardingFleet(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	f.handle(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan *outcome)
	go func() {
		ended <- f.cut.attemptThroughPeers(ctx, &call{
			id: "r-0", service: "pool", route: &route.Route{Name: "once", MaxTargets: 2}, tried: make(map[string]bool), unreached: make(map[string]bool),
			deadline: time.Now().Add(time.Minute), request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: http.Header{"Id": {"r-0"}}},
		})
	}()
	<-started
	leave()
	require.Equal(t, reasonCallerLeft, (<-ended).reason)
	<-cancelled
	f.handle(succeed)
	require.Equal(t, http.StatusOK, f.cut.send("once.example", nil, "").StatusCode)
}

// Guards against a target that counts as lost because a query for it ended.
func TestDialThatEndsWithItsContextShowsNothing(t *testing.T) {
	f := newCutFleet(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, target := range f.cut.state.targets {
		require.Error(t, f.cut.dial(ended, target))
		require.False(t, target.path.Lost())
	}
	require.False(t, f.cut.state.cutOff())
}

// Guards against repeats that are counted at neither VM, or at both.
func TestForwardedRequestIsRepeatedWithinItsBudget(t *testing.T) {
	f := newForwardingFleet(t)
	f.handle(resetConnection)
	require.Equal(t, http.StatusBadGateway, f.cut.send("safe.example", nil, "").StatusCode)
	require.Equal(t, 2, f.runs("r-1"), "the route allows two targets")
	require.EqualValues(t, 1, f.cut.repeatCount("pool"))
	require.Zero(t, f.peer.repeatCount("pool"))
	require.Equal(t, http.StatusBadGateway, f.cut.send("once.example", nil, "").StatusCode)
	require.Equal(t, 3, f.runs("r-1"), "may have run, so it is not repeated")
}

// Guards against a VM that closes the connections of others while it sends their requests.
func TestLeavingVMFinishesForwardedRequests(t *testing.T) {
	f := newForwardingFleet(t)
	f.handle(func(w http.ResponseWriter, _ *http.Request) {
		f.peer.forwarded.drain()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		f.peer.forwarded.await(ended)
		require.Len(t, f.peer.forwarded.running, 1)
	})
	require.Equal(t, http.StatusOK, f.cut.send("once.example", nil, "").StatusCode)
	f.peer.forwarded.await(t.Context())
	require.Equal(t, http.StatusServiceUnavailable, f.cut.send("once.example", nil, "").StatusCode, "no more are accepted")
	require.Equal(t, 1, f.runs("r-1"))
}

// Guards against requests for targets from processes that are not VMs of the fleet.
func TestOnlyLiveVMsMayForward(t *testing.T) {
	f := newForwardingFleet(t)
	args := ForwardArgs{ForwardID: ForwardID{VM: "stranger", Incarnation: 1}, Service: "pool", TimeLeft: time.Second, Method: http.MethodGet, URI: "/"}
	var reply ForwardReply
	require.NoError(t, (Forward{f.peer.Gateway}).Send(&args, &reply))
	require.Equal(t, string(refusedMember), reply.Refusal)
	args.VM, args.Incarnation = "cut", f.cut.self.Incarnation-1
	require.NoError(t, (Forward{f.peer.Gateway}).Send(&args, &reply))
	require.Equal(t, string(refusedMember), reply.Refusal)
}

// Guards against a forwarded request that is sent more often than one that is not.
func TestRefusedForwardedRequestIsSentAsOftenAsAnyOther(t *testing.T) {
	var repeats []int64
	for _, forwarded := range []bool{true, false} {
		// A fleet of its own for each, because a VM leaves the target alone after the first request.
		f := newForwardingFleet(t)
		f.handle(refuseAsNotRun)
		b := f.peer
		if forwarded {
			b = f.cut
		}
		resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.EqualValues(t, 1+b.repeatCount("keyed"), f.runs("r-1"))
		repeats = append(repeats, int64(b.repeatCount("keyed")))
	}
	require.Equal(t, repeats[0], repeats[1])
	require.Positive(t, repeats[0])
}

// Guards against a VM that goes on forwarding after its paths are back.
func TestVMServesByItselfAfterItsPathsAreBack(t *testing.T) {
	f := newForwardingFleet(t)
	require.Zero(t, f.failures(f.cut, 1))
	sent := f.cut.forwardMetrics.sent.Count()
	require.Positive(t, sent)
	f.eachLink(func(l *link.Link) error { l.Heal(); return nil }, "")
	for _, target := range f.cut.state.targets {
		require.NoError(t, f.cut.dial(t.Context(), target))
	}
	require.False(t, f.cut.state.cutOff())
	require.Zero(t, f.failures(f.cut, 10))
	require.Equal(t, sent, f.cut.forwardMetrics.sent.Count())
}

// departed is a connection that its other side has ended.
type departed struct{}

// Left implements caller.Connection.
func (departed) Left() bool { return true }

// Guards against work at targets for a VM that has ended, or whose callers may have left while this one did not run.
func TestForwardedRequestThatNobodyAwaitsIsNotSent(t *testing.T) {
	for name, origin := range map[string]struct {
		conn   caller.Connection
		waited time.Duration
		reason refusal
	}{
		"connection ended":    {conn: departed{}, reason: refusedCancelled},
		"may have waited":     {waited: 2 * caller.MaxUnread, reason: refusedUnread},
		"waited for a moment": {waited: caller.MaxUnread / 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardingFleet(t)
			args := f.cut.forwardArgs(&call{route: &route.Route{}, service: "pool", request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: http.Header{"Id": {"r-1"}}}, id: "r-1"}, time.Second)
			args.SetOrigin(origin.conn, origin.waited)
			var reply ForwardReply
			require.NoError(t, (Forward{f.peer.Gateway}).Send(args, &reply))
			require.Equal(t, string(origin.reason), reply.Refusal)
			if origin.reason == notRefused {
				require.Equal(t, 1, f.runs("r-1"))
				return
			}
			require.Equal(t, notSentByPeer, reply.Result)
			require.Zero(t, f.runs("r-1"))
		})
	}
}

// Guards against requests that are forwarded to another VM, or sent to a target, after their callers left.
func TestRequestOfACallerThatLeftIsNotPassedOn(t *testing.T) {
	f := newForwardingFleet(t)
	for _, g := range []*Gateway{f.cut.Gateway, f.peer.Gateway} {
		c := &call{
			id: "r-0", service: "pool", route: &route.Route{Name: "once", MaxTargets: 2}, tried: make(map[string]bool), unreached: make(map[string]bool),
			overLimit: make(map[string]bool), deadline: time.Now().Add(time.Minute), request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: http.Header{"Id": {"r-0"}}},
		}
		out := g.forward(caller.WithConnection(t.Context(), departed{}), c)
		require.Equal(t, reasonCallerLeft, out.reason)
		require.Zero(t, out.status)
	}
	require.Zero(t, f.runs("r-0"))
	require.Equal(t, http.StatusOK, f.cut.send("once.example", nil, "").StatusCode, "the callers said nothing about the other VM")
}

// Guards against a request that is sent with a new time limit after its VM was suspended.
func TestRequestWhoseTimePassedWhileTheVMWasSuspendedIsNotSent(t *testing.T) {
	f := newForwardingFleet(t)
	clock := newManualClock(time.Hour)
	c := &call{
		id: "r-0", service: "pool", route: &route.Route{Name: "once", MaxTargets: 2}, tried: make(map[string]bool), unreached: make(map[string]bool),
		overLimit: make(map[string]bool), deadline: time.Now().Add(time.Minute), clock: clock, expires: clock.Now() + time.Second,
		request: &upstream.Request{Method: http.MethodGet, URI: "/", Header: http.Header{"Id": {"r-0"}}},
	}
	ctx := caller.WithExpiry(t.Context(), clock, c.expires)
	clock.advance(2 * time.Second)
	out := f.peer.forward(ctx, c)
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.Zero(t, f.runs("r-0"))
}
