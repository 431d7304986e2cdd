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

// newCrashWatchers returns watches that talk over loopback ports.
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
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Close)
		t.Cleanup(w.peers.Close)
		v.Members = append(v.Members, wire.Member{VM: name, DispatchAddr: server.Addr()})
		out = append(out, w)
	}
	return out
}

// drainOutbox carries the rounds that wait.
func drainOutbox(t *testing.T, w *crashWatcher) {
	for w.outbox.Depth() > 0 {
		w.broadcast(t.Context(), <-w.outbox.Entries())
	}
}

func crashingRequest(id string) *wire.Request {
	return &wire.Request{ID: id, Service: "booth", Customer: "narrators", Method: "POST", Path: "/book", Header: map[string][]string{"X-Load-Id": {id}}}
}

// A request kills its target. Its caller sends it again through another entry,
// with a new request id; as a suspect it kills a second target. A third sending,
// that leads to another dispatcher, is refused there as not run, and so it is at
// one that starts only now.
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
	require.Equal(t, AdmitHold, admission, "a suspect waits for its permit")
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

// A suspect runs at one dispatcher; another, whose view differs, holds the same
// queue and asks for the permit. It does not get it.
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

// Members views differ, and three dispatchers hold the queue of one pool. A request
// kills its target; its caller gets unknown, sends it again through another entry to
// the next dispatcher, and so on. Each answer came before the others had heard of the
// death, so every dispatcher ran it once as an ordinary request: three targets died,
// and one more under it as a suspect.
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
		// What its duty does meanwhile.
		go drainOutbox(t, d)
		<-answered
	}
	require.Equal(t, 2, deaths)
}

// A dispatcher is replaced while a killer is quarantined. The new one was a member 250
// ms before it asked the others, and ran the killer meanwhile: a third target died.
// Now no entry learns its address before it fetched the cases, or before the others
// were silent for the stated time.
func TestDispatcherIsNotReadyBeforeItKnowsTheCases(t *testing.T) {
	w := newCrashWatchers(t, 2)
	ready := 0
	late := newCrashWatcher("vm9", w[0].feed, func() { ready++ }, w[0].journal, w[0].log, metrics.NewRegistry())
	t.Cleanup(late.peers.Close)
	v := w[0].feed.Current()
	require.False(t, late.prepareReady(t.Context(), 2*maxReadyDelay), "no view came yet")
	require.Zero(t, ready)
	v.Source = "agent"
	members := v.Members
	v.Members = []wire.Member{{VM: "vm3", DispatchAddr: "127.0.0.1:1"}}
	require.False(t, late.prepareReady(t.Context(), 0), "the only other one is silent")
	require.Zero(t, ready)
	require.False(t, late.prepareReady(t.Context(), maxReadyDelay))
	require.Equal(t, 1, ready, "the stated time passed")
	v.Members = members
	require.True(t, late.prepareReady(t.Context(), 0))
	require.Equal(t, 2, ready)
	v.Members = nil
	require.False(t, late.prepareReady(t.Context(), 0), "it goes on asking")
	require.Equal(t, 3, ready, "alone: nothing to fetch")
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
