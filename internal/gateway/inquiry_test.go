package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/loadreport"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// askedTarget is a target that tells its load.
type askedTarget struct {
	report atomic.Pointer[loadreport.Report]
	// silent makes it leave inquiries unanswered.
	silent         atomic.Bool
	inquiries, ran atomic.Int64
	// limit is the limit that it states, as a string, if there is one.
	limit atomic.Value
}

func (a *askedTarget) setReport(running, waiting int, slowness float64) {
	a.report.Store(&loadreport.Report{Running: running, Waiting: waiting, Slots: 2, Slowness: slowness})
}

func (a *askedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	report := a.report.Load()
	w.Header().Set("Load", fmt.Sprintf("%d %d %d %f", report.Running, report.Waiting, report.Slots, report.Slowness))
	if limit, stated := a.limit.Load().(string); stated {
		w.Header().Set("Limit", limit)
	}
	if r.URL.Path != "/health" {
		a.ran.Add(1)
		succeed(w, r)
		return
	}
	a.inquiries.Add(1)
	if a.silent.Load() {
		<-r.Context().Done()
	}
}

// newAskedTestbed returns a gateway with targets that tell their load. Requests of the route long occupy the
// owner of their key for longer than the callers of the route short want to wait.
func newAskedTestbed(t *testing.T, service string, ids ...string) (*testbed, map[string]*askedTarget) {
	b := newTestbed(t)
	to := func(service string) []route.Split { return []route.Split{{Service: service, Weight: 1}} }
	b.state.setConfig(&route.Config{
		Version: 4,
		Routes: []route.Route{
			{Name: "once", Host: "once.example", Prefix: "/", Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxTargets: 2, Splits: to("pool")},
			{Name: "short", Host: "short.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, MaxTargets: 2, Splits: to("keyed")},
			{Name: "long", Host: "long.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, Objective: 800 * time.Millisecond, MaxTargets: 2, Splits: to("keyed")},
		},
		Services: map[string]route.Service{
			"pool":  {Name: "pool", HealthPath: "/health"},
			"keyed": {Name: "keyed", Keyed: true, HealthPath: "/health"},
		},
		Limits: route.Limits{BodyBytes: 100},
	}, "test")
	b.fillRepeatBudget("pool", "keyed")
	targets := make(map[string]*askedTarget)
	for _, id := range ids {
		targets[id] = new(askedTarget)
		targets[id].setReport(0, 0, 1)
		b.addTarget(id, service, targets[id].ServeHTTP)
	}
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	b.state.tellsLoad[service] = true
	for _, t := range b.state.targets {
		t.tellsLoad = true
	}
	for name, work := range map[string]time.Duration{"once": 100 * time.Millisecond, "short": 40 * time.Millisecond, "long": 250 * time.Millisecond} {
		for range 100 {
			b.state.recordDurationLocked(service, name, work)
		}
	}
	return b, targets
}

// Guards against requests that meet a target whose machine is slow at this moment, while others are idle.
func TestTargetThatSaysItIsSlowGetsNoRequests(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "slow", "usual")
	targets["slow"].setReport(0, 0, 3)
	for range 4 {
		require.Equal(t, http.StatusOK, b.send("once.example", nil, "").StatusCode)
	}
	require.Zero(t, targets["slow"].ran.Load())
	require.EqualValues(t, 4, targets["usual"].ran.Load())
}

// Guards against refusals while the only target with room is slow.
func TestSlowTargetIsUsedIfTheOthersAreFull(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "slow", "full")
	targets["slow"].setReport(0, 0, 3)
	targets["full"].setReport(2, 4, 1)
	require.Equal(t, http.StatusOK, b.send("once.example", nil, "").StatusCode)
	require.EqualValues(t, 1, targets["slow"].ran.Load())
}

// Guards against a request that may not be repeated and is sent to a target that has stopped answering.
func TestTargetThatDoesNotAnswerAnInquiryGetsNoRequests(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "silent", "usual")
	targets["silent"].silent.Store(true)
	for range 4 {
		require.Equal(t, http.StatusOK, b.send("once.example", nil, "").StatusCode)
	}
	require.Zero(t, targets["silent"].ran.Load())
}

// Guards against requests to full pools, whose targets never answer what they cannot queue.
func TestPoolThatSaysItIsFullRefusesAtOnce(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "a", "b")
	for _, target := range targets {
		target.setReport(2, 6, 1)
	}
	resp := b.send("once.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, targets["a"].ran.Load()+targets["b"].ran.Load())
}

// Guards against owners that are overrun by VMs which count only their own requests.
func TestOwnerThatSaysItIsFullGetsNoRequests(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	key := http.Header{"Key": {"7"}}
	require.Equal(t, http.StatusOK, b.send("short.example", key, "").StatusCode)
	targets["k"].setReport(2, 5, 1)
	require.Equal(t, http.StatusServiceUnavailable, b.send("short.example", key, "").StatusCode)
	require.EqualValues(t, 1, targets["k"].ran.Load())
}

// Guards against long work that takes the last slot of an owner while urgent short work arrives.
func TestLongWorkWaitsForRoomAtItsOwner(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	key := http.Header{"Key": {"7"}}
	targets["k"].setReport(1, 0, 1)
	require.Equal(t, http.StatusOK, b.send("short.example", key, "").StatusCode)
	require.EqualValues(t, 1, targets["k"].inquiries.Load())
	require.Equal(t, http.StatusOK, b.send("long.example", key, "").StatusCode, "it is sent when it has waited long enough")
	require.Greater(t, targets["k"].inquiries.Load(), int64(3))
	require.EqualValues(t, 2, targets["k"].ran.Load())
	before := targets["k"].inquiries.Load()
	targets["k"].setReport(0, 0, 1)
	require.Equal(t, http.StatusOK, b.send("long.example", key, "").StatusCode)
	require.Equal(t, before+1, targets["k"].inquiries.Load(), "it is sent at once if a slot remains")
}

// Guards against inquiries at targets that do not tell their load, which queue them like any request.
func TestTargetsThatDoNotTellTheirLoadAreNotAsked(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("t", "pool", func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/x", r.URL.Path)
		succeed(w, r)
	})
	for range 3 {
		require.Equal(t, http.StatusOK, b.send("once.example", nil, "").StatusCode)
	}
	require.EqualValues(t, 3, b.requests.Load())
}

// Guards against a target that turns cold without a restart and is overrun before its entry says so.
func TestHealthCheckTellsThatATargetIsCold(t *testing.T) {
	b, _ := newAskedTestbed(t, "pool", "t")
	target := b.state.targets["t"]
	b.applySignals(target, &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Cold-Ms": {"2000"}}}, received{kind: toInquiry})
	require.Equal(t, b.clock.Now()+2*time.Second, target.warming.until)
}

// Guards against a grantor that takes the queue at an owner for slowness and so for less capacity.
func TestQueueAtAnOwnerIsNoSlowness(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	targets["k"].setReport(2, 2, 1)
	a, reason, _ := b.state.reserveOwner("keyed", &route.Route{Name: "short"}, 7, mesh.LeaseVersion{}, time.Second)
	require.Equal(t, notRefused, reason)
	report, err := b.ask(t.Context(), a, time.Second)
	require.NoError(t, err)
	require.InDelta(t, report.Rounds(a.work()), a.rounds, 1e-9)
	a.sent = time.Now().Add(-report.Expected(a.work()))
	b.state.finish(a, resultSucceeded)
	load := b.state.takeKeyLoad("keyed")
	require.InDelta(t, 100, load.Slowness[0], 5)
}

// Guards against a grantor that gives slow targets as many keys as fast ones.
func TestSlownessOfTheMachineReachesTheGrantor(t *testing.T) {
	b, _ := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	a, _, _ := b.state.reserveOwner("keyed", &route.Route{Name: "short"}, 7, mesh.LeaseVersion{}, time.Second)
	a.reportedSlowness, a.sent = 1.6, time.Now().Add(-time.Duration(1.6*float64(a.usual)))
	usual := a.usual
	b.state.finish(a, resultSucceeded)
	load := b.state.takeKeyLoad("keyed")
	require.InDelta(t, 160, load.Slowness[0], 5)
	require.InDelta(t, 1, b.state.targets["k"].pick.Slowness(), 0.05)
	require.InDelta(t, float64(usual), float64(b.state.usualDurationLocked("keyed", "short")), 0.05*float64(usual))
}

// Guards against frequent heartbeats for the loads of targets that tell them, from VMs that get few requests.
func TestVMWithoutRequestsFindsOutThatTargetsTellTheirLoad(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "t")
	b.state.tellsLoad = make(map[string]bool)
	_, ask := b.state.setPlace(onlyVM)
	require.False(t, ask)
	for range 3 {
		b.discoverLoadReports(t.Context())
	}
	_, ask = b.state.setPlace(onlyVM)
	require.True(t, ask)
	require.EqualValues(t, 1, targets["t"].inquiries.Load(), "it is found out once")
	require.Zero(t, targets["t"].ran.Load())
}

// Guards against a new connection each second to targets that leave the question unanswered.
func TestTargetsAreAskedOnceWhetherTheyTellTheirLoad(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "t")
	b.state.tellsLoad = make(map[string]bool)
	targets["t"].silent.Store(true)
	for range 3 {
		b.discoverLoadReports(t.Context())
	}
	require.EqualValues(t, 1, targets["t"].inquiries.Load())
}

// Guards against inquiries that end before a dial to an unreachable target fails, so that the target is asked forever.
func TestSilentTargetIsDialledAfterAnInquiry(t *testing.T) {
	b, targets := newAskedTestbed(t, "pool", "silent")
	targets["silent"].silent.Store(true)
	dials := metrics.GetOrRegisterCounter("connections.opened", b.registry)
	b.send("once.example", nil, "")
	require.Eventually(t, func() bool { return dials.Count() >= 2 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, targets["silent"].inquiries.Load())
}

// Guards against a target that counts as one which never tells its load because it was too busy once.
func TestFailureWithoutReportChangesNothing(t *testing.T) {
	b, _ := newAskedTestbed(t, "pool", "t")
	target := b.state.targets["t"]
	b.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}}, received{kind: toInquiry})
	require.True(t, target.tellsLoad)
	b.applySignals(target, &upstream.Answer{Status: http.StatusOK, Header: http.Header{}}, received{kind: toInquiry})
	require.False(t, target.tellsLoad)
}

// Guards against a request that may not be repeated and is lost at an owner which answers no inquiry.
func TestSilentOwnerGetsOnlyRequestsThatMayBeRepeated(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	targets["k"].silent.Store(true)
	key := http.Header{"Key": {"7"}}
	require.Equal(t, http.StatusOK, b.send("short.example", key, "").StatusCode)
	require.EqualValues(t, 1, targets["k"].ran.Load())
	routes := *b.state.view.Load().Routes.Config()
	routes.Version, routes.Routes[1].Idempotent = 5, false
	b.state.setConfig(&routes, "test")
	require.Equal(t, http.StatusServiceUnavailable, b.send("short.example", key, "").StatusCode)
	require.EqualValues(t, 1, targets["k"].ran.Load())
}

// Guards against VMs that each send forwarded requests up to their own count to an owner that is full.
func TestForwardedRequestIsNotSentToFullOwner(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	send := func() string {
		out := new(ForwardReply)
		b.sendForwarded(t.Context(), &ForwardArgs{
			Service: "keyed", Route: "short", Objective: 150 * time.Millisecond, TimeLeft: time.Second, Keyed: true, Key: 7, Method: "GET", URI: "/x", Host: "short.example", ID: "r-1",
		}, out)
		return out.Refusal
	}
	require.Empty(t, send())
	targets["k"].setReport(2, 5, 1)
	require.Equal(t, string(refusedFull), send())
	require.EqualValues(t, 1, targets["k"].ran.Load())
}

// Guards against a VM without measurements, as all are after a restart, that sends to owners without asking.
func TestOwnerIsAskedBeforeAnyWorkWasMeasured(t *testing.T) {
	b, targets := newAskedTestbed(t, "keyed", "k")
	b.state.durations = make(map[string]*duration.Table)
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	targets["k"].setReport(2, 5, 1)
	require.Equal(t, http.StatusServiceUnavailable, b.send("short.example", http.Header{"Key": {"7"}}, "").StatusCode)
	require.Zero(t, targets["k"].ran.Load())
}

// Guards against a target that counts as slow for the time in which others were asked.
func TestTargetThatWasNotChosenIsNotMeasured(t *testing.T) {
	b, _ := newAskedTestbed(t, "pool", "t")
	a, _ := b.state.reserveFromPool("pool", &route.Route{Name: "once"}, nil, time.Second, b.clock.Now())
	a.sent = time.Now().Add(-10 * time.Second)
	b.release(a)
	require.InDelta(t, 1, a.target.pick.Slowness(), 1e-9)
	require.Empty(t, b.state.takeKeyLoad("pool").Targets)
}
