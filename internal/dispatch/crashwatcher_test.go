package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// newCrashWatchers returns watchers that call each other on loopback ports.
func newCrashWatchers(t *testing.T, n int) []*crashWatcher {
	v := view.Build(nil, nil, nil)
	logger := &log.Logger{Level: log.PanicLevel}
	var out []*crashWatcher
	for i := range n {
		server, err := peer.Listen("127.0.0.1:0")
		require.NoError(t, err)
		name := fmt.Sprintf("vm%d", i+1)
		w := newCrashWatcher(name, newSetView(v), func() {}, journal.New(name, processName, 16), logger, metrics.NewRegistry())
		require.NoError(t, server.Register("Dispatch", w))
		go server.Serve()
		t.Cleanup(server.Close)
		t.Cleanup(w.peers.Close)
		v.Members = append(v.Members, wire.Member{VM: name, DispatchAddr: server.Addr()})
		out = append(out, w)
	}
	return out
}

// drainOutbox sends the messages that wait in outbox.
func drainOutbox(t *testing.T, w *crashWatcher) {
	for w.outbox.Depth() > 0 {
		w.broadcast(t.Context(), <-w.outbox.Entries())
	}
}

func crashingRequest(id string) *wire.Request {
	return &wire.Request{ID: id, Service: "booth", Customer: "narrators", Method: "POST", Path: "/book", Header: map[string][]string{"X-Load-Id": {id}}}
}

// A request crashes its target. Its caller sends it again with a new request id, and as a
// suspect it crashes a second target. After that it must be refused as not run at all other
// dispatchers, also at one that has just started.
func TestQuarantineAppliesAtEveryDispatcher(t *testing.T) {
	w := newCrashWatchers(t, 3)
	now := time.Now()
	run := func(id, target string) {
		admission, _ := w[0].Admit(target, crashingRequest(id), now)
		require.Equal(t, AdmitRun, admission)
		w[0].Started(target, crashingRequest(id), now)
		w[0].Died(target, []*wire.Request{crashingRequest(id)}, now)
	}
	run("first", "booth-1")
	drainOutbox(t, w[0])
	admission, _ := w[0].Admit("booth-2", crashingRequest("second"), now)
	require.Equal(t, AdmitHold, admission, "a suspect must wait for its permit")
	drainOutbox(t, w[0])
	run("second", "booth-2")
	drainOutbox(t, w[0])

	late := newCrashWatchers(t, 1)[0]
	late.feed = w[0].feed
	late.vm = "vm9"
	require.True(t, late.fetchCases(t.Context()))
	for _, other := range append(w, late) {
		admission, p := other.Admit("booth-3", crashingRequest("third"), now)
		require.Equal(t, AdmitRefuse, admission)
		require.Equal(t, problem.Quarantined, p.Kind)
		require.Equal(t, problem.RanNo, p.Ran)
	}
	unrelated := crashingRequest("other")
	unrelated.Path = "/other"
	admission, _ = w[1].Admit("booth-3", unrelated, now)
	require.Equal(t, AdmitRun, admission)
}

// Two dispatchers with different views hold the queue of the same pool. While a suspect runs at
// one of them, the other must not get the permit to run it.
func TestSuspectRunsAtOneDispatcherOnly(t *testing.T) {
	w := newCrashWatchers(t, 2)
	now := time.Now()
	_, _ = w[0].Admit("booth-1", crashingRequest("a"), now)
	w[0].Started("booth-1", crashingRequest("a"), now)
	w[0].Died("booth-1", []*wire.Request{crashingRequest("a"), crashingRequest("b")}, now)
	drainOutbox(t, w[0])
	_, _ = w[0].Admit("booth-2", crashingRequest("a"), now)
	drainOutbox(t, w[0])
	admission, _ := w[0].Admit("booth-2", crashingRequest("a"), now)
	require.Equal(t, AdmitRun, admission)
	w[0].Started("booth-2", crashingRequest("a"), now)

	admission, _ = w[1].Admit("booth-3", crashingRequest("b"), now)
	require.Equal(t, AdmitHold, admission)
	drainOutbox(t, w[1])
	admission, _ = w[1].Admit("booth-3", crashingRequest("b"), now)
	require.Equal(t, AdmitHold, admission)

	w[0].Finished("booth-2", crashingRequest("a"), true, now)
	drainOutbox(t, w[0])
	admission, _ = w[1].Admit("booth-3", crashingRequest("b"), now)
	require.Equal(t, AdmitRun, admission, "cleared everywhere")
}

// Three dispatchers with different views hold the queue of one pool. A request crashes its
// target, and its caller gets unknown and sends it again to the next dispatcher, and so on.
// When answers came before the other dispatchers knew of the death, each dispatcher ran the
// request once as an ordinary one: three targets died, and a fourth ran it as a suspect and
// died too.
func TestResentRequestKillsAtMostTwoTargets(t *testing.T) {
	w := newCrashWatchers(t, 3)
	now, deaths := time.Now(), 0
	for n := range 9 {
		d := w[n%3]
		target := fmt.Sprint("booth-", n)
		admission, _ := d.Admit(target, crashingRequest("again"), now)
		if admission == AdmitHold {
			drainOutbox(t, d)
			admission, _ = d.Admit(target, crashingRequest("again"), now)
		}
		if admission != AdmitRun {
			require.Equal(t, AdmitRefuse, admission)
			continue
		}
		d.Started(target, crashingRequest("again"), now)
		d.Died(target, []*wire.Request{crashingRequest("again"), crashingRequest("beside")}[:2-n%2], now)
		deaths++
		answered := make(chan struct{})
		go func() {
			d.awaitNotices(t.Context(), crashingRequest("again"))
			close(answered)
		}()
		// Done by crashWatcher.run in a dispatcher.
		go drainOutbox(t, d)
		<-answered
	}
	require.Equal(t, 2, deaths)
}

// A dispatcher is replaced while a request is quarantined. The new dispatcher was a member
// for 250 ms before it requested the cases, and ran the request in that time, so a third
// target died. A dispatcher must not be ready before it has fetched the cases, or before the
// others have not answered for maxReadyDelay.
func TestDispatcherIsNotReadyBeforeItKnowsTheCases(t *testing.T) {
	w := newCrashWatchers(t, 2)
	ready := 0
	late := newCrashWatcher("vm9", w[0].feed, func() { ready++ }, w[0].journal, w[0].log, metrics.NewRegistry())
	t.Cleanup(late.peers.Close)
	v := w[0].feed.Current()
	require.False(t, late.prepareReady(t.Context(), 2*maxReadyDelay), "no view has been received yet")
	require.Zero(t, ready)
	v.Source = "agent"
	members := v.Members
	v.Members = []wire.Member{{VM: "vm3", DispatchAddr: "127.0.0.1:1"}}
	require.False(t, late.prepareReady(t.Context(), 0), "the only other dispatcher does not answer")
	require.Zero(t, ready)
	require.False(t, late.prepareReady(t.Context(), maxReadyDelay))
	require.Equal(t, 1, ready, "maxReadyDelay has passed")
	v.Members = members
	require.True(t, late.prepareReady(t.Context(), 0))
	require.Equal(t, 2, ready)
	v.Members = nil
	require.False(t, late.prepareReady(t.Context(), 0), "no other dispatcher has answered")
	require.Equal(t, 3, ready, "no other dispatcher to fetch from")
}

func BenchmarkCrashFingerprint(b *testing.B) {
	r := crashingRequest("x")
	for _, name := range []string{"Accept", "Accept-Encoding", "User-Agent", "Content-Type", "X-Load-Size"} {
		r.Header[name] = []string{"value"}
	}
	b.ReportAllocs()
	for b.Loop() {
		crashFingerprint(r)
	}
}
