package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// testbed is a gateway with a configuration and with targets whose handlers the test supplies.
type testbed struct {
	*Gateway
	t        *testing.T
	targets  []catalog.Target
	requests atomic.Int64
}

func newTestbed(t *testing.T) *testbed { return newTestbedAt(t, "self", "127.0.0.1:1") }

// newTestbedAt returns a testbed with a name and an address for other VMs.
func newTestbedAt(t *testing.T, name, peers string) *testbed {
	g := newTestGatewayAt(newManualClock(time.Hour), name, peers, 0)
	t.Cleanup(g.mesh.Close)
	g.state.setRepeatLimit(testRepeatLimit)
	g.joined.Store(true)
	g.fillRepeatBudget("pool", "keyed")
	b := &testbed{Gateway: g, t: t}
	g.state.setConfig(&route.Config{
		Version: 3,
		Routes: []route.Route{
			{Name: "safe", Host: "safe.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "pool", Weight: 1}}},
			{Name: "once", Host: "once.example", Prefix: "/", Timeout: 2 * time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "pool", Weight: 1}}},
			{Name: "keyed", Host: "keyed.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "keyed", Weight: 1}}},
			{Name: "patient", Host: "patient.example", Prefix: "/", Idempotent: true, Timeout: 4 * time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "pool", Weight: 1}}},
			{Name: "short", Host: "short.example", Prefix: "/", Idempotent: true, Timeout: 100 * time.Millisecond, MaxTargets: 2, Splits: []route.Split{{Service: "pool", Weight: 1}}},
		},
		Services: map[string]route.Service{"pool": {Name: "pool"}, "keyed": {Name: "keyed", Keyed: true}},
		Limits:   route.Limits{BodyBytes: 100},
	}, "test")
	g.confirmations.confirm("config", 1, 3, g.clock.Now())
	return b
}

var testRepeatLimit = (&Settings{Repeats: Repeats{Ratio: 0.2, Slack: 100, Window: defaultWindow}}).repeatLimit()

// fillRepeatBudget counts requests to the services, each of which adds to the repeat budget.
func (g *Gateway) fillRepeatBudget(services ...string) {
	for _, service := range services {
		for range 100 {
			g.state.budgetLocked(service).AddRequest(g.state.repeatLimit, g.clock.Now())
		}
	}
}

// addTarget adds a target that runs handler.
func (b *testbed) addTarget(id, service string, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		handler(w, r)
	}))
	b.t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	b.targets = append(b.targets, catalog.Target{ID: id, Service: service, Addr: addr, Slots: 2, Born: 1})
	b.state.setTargets(uint64(len(b.targets)), b.targets...)
}

// send sends a request to the gateway over HTTP.
func (b *testbed) send(host string, header http.Header, body string) *http.Response {
	b.t.Helper()
	front := httptest.NewServer(b.Gateway)
	defer front.Close()
	req, err := http.NewRequest(http.MethodPost, front.URL+"/x?y=1", strings.NewReader(body))
	require.NoError(b.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Host = host
	req.Header.Set("Id", "r-1")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func succeed(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

func refuseAsNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resetConnection closes the connection without a response.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// firstThen returns a handler that runs first for the first request and then for all others.
func firstThen(first, then http.HandlerFunc) http.HandlerFunc {
	var served atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if !served.Swap(true) {
			first(w, r)
			return
		}
		then(w, r)
	}
}

func TestResponseIsForwarded(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("t", "pool", func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "t", r.Header.Get("Target"))
		require.Equal(t, "/x?y=1", r.RequestURI)
		left, err := strconv.Atoi(r.Header.Get("Deadline"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 500)
		w.Header().Set("Stamp", "s")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("short and stout"))
	})
	resp := b.send("once.example", http.Header{"Deadline": {"500"}, "Target": {"chosen by the caller"}}, "x")
	require.Equal(t, http.StatusTeapot, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get("Stamp"))
	require.EqualValues(t, 15, resp.ContentLength)
}

// Guards against a booking that is made twice, or reported as not made although it may have been.
func TestNonIdempotentRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", resetConnection)
	b.addTarget("b", "pool", resetConnection)
	resp := b.send("once.example", nil, "")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.EqualValues(t, 1, b.requests.Load())
}

// Guards against a refusal of a booking that one target has not run and that another one could
// run.
func TestRequestRefusedAsNotRunIsSentToAnotherTarget(t *testing.T) {
	b := newTestbed(t)
	handler := firstThen(refuseAsNotRun, succeed)
	b.addTarget("a", "pool", handler)
	b.addTarget("b", "pool", handler)
	resp := b.send("once.example", nil, "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 2, b.requests.Load())
}

// Guards against callers that have to wait, or that get no Retry-After, while all targets are
// full.
func TestRequestIsRefusedIfAllTargetsAreFull(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", refuseAsNotRun)
	b.addTarget("b", "pool", refuseAsNotRun)
	resp := b.send("safe.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, resp.Header.Get("Not-Run"), "a header that a target set for itself is not forwarded")
}

// Guards against a refusal as "not run" although the first target may have run the request.
func TestRequestWithLostResponseIsNotReportedAsNotRun(t *testing.T) {
	b := newTestbed(t)
	handler := firstThen(resetConnection, refuseAsNotRun)
	b.addTarget("a", "pool", handler)
	b.addTarget("b", "pool", handler)
	resp := b.send("safe.example", nil, "")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// Guards against a 503 of a target that has run the request: callers would take it for "not run".
func TestStatusThatImpliesNotRunIsNotForwarded(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	resp := b.send("once.example", nil, "")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// Guards against a request that occupies its caller and its target for longer than the route's
// timeout.
func TestRouteTimeout(t *testing.T) {
	b := newTestbed(t)
	cancelled := make(chan struct{})
	b.addTarget("a", "pool", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	resp := b.send("short.example", nil, "")
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	<-cancelled
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", succeed)
	for _, c := range []struct {
		host, body, key string
		want            int
	}{
		{"nowhere.example", "", "", http.StatusNotFound},
		{"safe.example", strings.Repeat("x", 101), "", http.StatusRequestEntityTooLarge},
		{"keyed.example", "", "", http.StatusBadRequest},
		{"keyed.example", "", "65536", http.StatusBadRequest},
		{"safe.example", "", "", http.StatusOK},
	} {
		resp := b.send(c.host, http.Header{"Key": {c.key}}, c.body)
		require.Equal(t, c.want, resp.StatusCode, c)
	}
	fresh := newTestGateway(newManualClock(time.Hour))
	defer fresh.mesh.Close()
	resp := (&testbed{Gateway: fresh, t: t}).send("safe.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "without a configuration, no route is known to be missing")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against requests that wait for a key that no target can serve in time.
func TestRequestForKeyOfLostOwnerIsRefusedAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("k", "keyed", succeed)
	b.state.setOwner("keyed", 1, 1, "k", lease.Unserved)
	resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Zero(t, b.requests.Load())
}

// digestOf returns the digest under which crashes of a request are recorded.
func (b *testbed) digestOf(body string) uint64 {
	c := b.newCall(httptest.NewRequest(http.MethodPost, "/x?y=1", nil), &route.Route{Timeout: time.Second}, "pool")
	req := httptest.NewRequest(http.MethodPost, "/x?y=1", strings.NewReader(body))
	req.Host = "safe.example"
	require.Nil(b.t, b.readBody(c, httptest.NewRecorder(), req, 100))
	return c.digest
}

// Guards against a fourth crashed target: two VMs have seen three targets crash under the request.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", succeed)
	digest := b.digestOf("bad")
	b.state.recordCrash(digest, "first")
	b.state.recordCrash(digest, "second")
	other := mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 1}
	b.receiveHeartbeat(mesh.Heartbeat{From: other, Crashes: []mesh.Crash{{Content: digest, Targets: []uint32{catalog.Hash("third")}}}})
	require.Equal(t, http.StatusServiceUnavailable, b.send("safe.example", nil, "bad").StatusCode)
	require.Zero(t, b.requests.Load())
	require.Equal(t, http.StatusOK, b.send("safe.example", nil, "good").StatusCode)
}

// Guards against a crash of one target that counts once per VM that saw it.
func TestCrashedTargetCountsOnceAcrossVMs(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", succeed)
	digest := b.digestOf("popular")
	b.state.recordCrash(digest, "lost")
	for _, vm := range []string{"x", "y", "z"} {
		b.receiveHeartbeat(mesh.Heartbeat{
			From:    mesh.Member{VM: vm, Addr: "127.0.0.1:1", Incarnation: 1},
			Crashes: []mesh.Crash{{Content: digest, Targets: []uint32{catalog.Hash("lost")}}},
		})
	}
	require.Equal(t, http.StatusOK, b.send("safe.example", nil, "popular").StatusCode)
}

// Guards against a harmless request that is refused indefinitely.
func TestCrashRecordsExpire(t *testing.T) {
	clock := newManualClock(time.Hour)
	s := newTestState(clock)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	for _, target := range []string{"a", "b", "c"} {
		s.recordCrash(7, target)
	}
	require.True(t, s.crashesTargets(7, g.mesh))
	clock.advance(crashRetention + time.Second)
	require.False(t, s.crashesTargets(7, g.mesh))
	require.Empty(t, s.recentCrashes())
}

// Guards against a refusal although the owner of the key has a free slot a moment later.
func TestRequestIsRepeatedAtOwnerWithFreeSlots(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("k", "keyed", firstThen(refuseAsNotRun, succeed))
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 2, b.requests.Load())
}

// Guards against a Retry-After beyond the route's objective although the owner has free slots.
func TestRetryAfterIsShortIfTargetHasFreeSlots(t *testing.T) {
	b := newTestbed(t)
	b.state.setRepeatLimit((&Settings{Repeats: Repeats{Window: defaultWindow}}).repeatLimit())
	for b.takeRepeat(&call{service: "keyed"}).Granted {
	}
	b.addTarget("k", "keyed", refuseAsNotRun)
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.EqualValues(t, 1, b.requests.Load())
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.02)
}

// Guards against an owner that counts as lost after a single lost response.
func TestIdempotentRequestIsRepeatedAtOwnerAfterLostResponse(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("k", "keyed", firstThen(resetConnection, succeed))
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 2, b.requests.Load())
}

// misdirect responds that the target does not hold the key.
func misdirect(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// Guards against repeated requests to an owner for a key that it does not hold.
func TestMisdirectedRequestIsNotRepeatedUnderTheSameLeases(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("k", "keyed", misdirect)
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1, b.requests.Load())
}
