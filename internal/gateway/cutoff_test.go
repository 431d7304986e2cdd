package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/standin/link"
	"hemlockquay/internal/standin/link/linktest"
)

// cutFleet is two VMs that know each other. Both use the same targets, the first one over links
// that the test cuts.
type cutFleet struct {
	t         *testing.T
	cut, peer *testbed
	links     map[string]*link.Link
	// handler is what the targets run. It may be replaced between requests.
	handler atomic.Pointer[http.HandlerFunc]

	mu sync.Mutex
	// ran counts the runs of each request by its id.
	ran map[string]int
}

// newCutFleet returns a fleet with three targets of each service. The owner of all keys is k-0.
func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{t: t, links: make(map[string]*link.Link), ran: make(map[string]int)}
	f.handle(succeed)
	f.cut, f.peer = f.newVM("cut"), f.newVM("peer")
	var direct, linked []catalog.Target
	for _, id := range []string{"k-0", "k-1", "k-2", "p-0", "p-1", "p-2"} {
		server := httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(server.Close)
		f.links[id] = linktest.To(t, server.Listener.Addr().String())
		target := catalog.Target{ID: id, Service: map[byte]string{'k': "keyed", 'p': "pool"}[id[0]], Slots: 2, Born: 1}
		target.Addr = server.Listener.Addr().String()
		direct = append(direct, target)
		target.Addr = f.links[id].Addr()
		linked = append(linked, target)
	}
	for _, b := range []*testbed{f.cut, f.peer} {
		b.state.setOwner("keyed", 1, 1, "k-0", lease.Served)
	}
	f.cut.state.setTargets(1, linked...)
	f.peer.state.setTargets(1, direct...)
	f.cut.mesh.Add(f.peer.self)
	f.cut.receiveHeartbeat(f.peer.Heartbeat())
	f.peer.receiveHeartbeat(f.cut.Heartbeat())
	return f
}

// newVM returns a VM that other VMs can call.
func (f *cutFleet) newVM(name string) *testbed {
	server, err := peer.Listen("127.0.0.1:0")
	require.NoError(f.t, err)
	b := newTestbedAt(f.t, name, server.Addr())
	b.peers = server
	require.NoError(f.t, b.registerServices())
	go b.peers.Serve()
	f.t.Cleanup(server.Close)
	return b
}

func (f *cutFleet) handle(handler http.HandlerFunc) { f.handler.Store(&handler) }

func (f *cutFleet) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.ran[r.Header.Get("Id")]++
	f.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	(*f.handler.Load())(w, r)
}

func (f *cutFleet) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// eachLink calls cut for the links whose target's id has one of the prefixes.
func (f *cutFleet) eachLink(cut func(*link.Link) error, prefixes ...string) {
	for id, l := range f.links {
		for _, prefix := range prefixes {
			if strings.HasPrefix(id, prefix) {
				require.NoError(f.t, cut(l))
			}
		}
	}
}

// loseAtPeer takes the targets with these ids from the second VM as well: nothing listens at their addresses.
func (f *cutFleet) loseAtPeer(ids ...string) {
	var list []catalog.Target
	for _, t := range f.peer.state.view.Load().Targets.List {
		if slices.Contains(ids, t.ID) {
			t.Addr = "127.0.0.1:1"
		}
		list = append(list, t)
	}
	f.peer.state.setTargets(2, list...)
}

// warm sends requests over the links, so that connections to the targets are open.
func (f *cutFleet) warm() {
	for range 6 {
		require.Equal(f.t, http.StatusOK, f.cut.send("safe.example", nil, "").StatusCode)
		require.Equal(f.t, http.StatusOK, f.cut.send("keyed.example", http.Header{"Key": {"7"}}, "").StatusCode)
	}
}

// The ways in which a VM is cut from targets.
var cuts = map[string]func(*link.Link) error{
	"silent": (*link.Link).Drop,
	"reset":  func(l *link.Link) error { l.Reset(); return l.Refuse() },
}

// failures sends this many requests of each service to the VM, one after the other, and returns how
// many of them are refused or fail.
func (f *cutFleet) failures(b *testbed, requests int) (failed int) {
	for range requests {
		for _, r := range []struct{ host, key string }{{"safe.example", ""}, {"once.example", ""}, {"keyed.example", "7"}} {
			header := http.Header{"Deadline": {"1500"}}
			if r.key != "" {
				header.Set("Key", r.key)
			}
			if b.send(r.host, header, "").StatusCode != http.StatusOK {
				failed++
			}
		}
	}
	return failed
}

// detectionRequests is the number of requests of each service that may fail until a VM knows that
// its paths are lost.
const detectionRequests = 8

// requireServedWhileCut requires that a VM which is cut from the targets with a prefix serves all requests
// once it has had time to learn of the cut.
func requireServedWhileCut(t *testing.T, prefix string) {
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(t)
			f.warm()
			f.eachLink(cut, prefix)
			f.failures(f.cut, detectionRequests)
			require.Zero(t, f.failures(f.cut, 10))
		})
	}
}

// Guards against a VM that refuses requests because it does not reach targets that other VMs reach.
func TestVMCutFromAllTargetsServesRequests(t *testing.T) { requireServedWhileCut(t, "") }

// Guards against a VM that refuses requests for one service while it still reaches another.
func TestVMCutFromOneServiceServesRequests(t *testing.T) { requireServedWhileCut(t, "k") }

// Guards against fleets that use no target at all while every VM is cut from most of them.
func TestTargetsThatAreStillReachedAreUsedIfNoOtherVMReachesMore(t *testing.T) {
	f := newCutFleet(t)
	f.eachLink((*link.Link).Refuse, "k", "p-0")
	for _, id := range []string{"k-0", "k-1", "p-0"} {
		require.Error(t, f.cut.dial(t.Context(), f.cut.state.targets[id]))
	}
	require.True(t, f.cut.state.cutOff())
	f.cut.receiveHeartbeat(mesh.Heartbeat{From: f.peer.self, CutOff: true})
	for range 4 {
		for _, p := range f.cut.state.pathsToProbe(maxProbes) {
			f.cut.state.endProbe(p, f.cut.dial(t.Context(), p.target))
		}
	}
	require.False(t, f.cut.state.cutOff())
	require.Equal(t, http.StatusOK, f.cut.send("safe.example", nil, "").StatusCode)
}

// Guards against refusing requests that open connections carry while new ones are refused.
func TestOpenConnectionsServeWhileNewOnesAreRefused(t *testing.T) {
	f := newCutFleet(t)
	f.warm()
	f.eachLink((*link.Link).Refuse, "")
	require.Zero(t, f.failures(f.cut, 10))
}

// Guards against a request that is reported as crashing targets by a VM that lost its path to them.
func TestLostPathIsNotReportedAsCrash(t *testing.T) {
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(t)
			f.warm()
			f.eachLink(cut, "")
			for _, target := range f.cut.state.targets {
				f.cut.recordCrashIfDown(7, &attempt{target: target, id: target.ID, pool: target.pool})
			}
			require.Empty(t, f.cut.state.recentCrashes())
		})
	}
}

// Guards against a crash that no VM reports, because each takes it for the loss of its own path.
func TestTargetThatNoVMReachesIsReportedAsCrashed(t *testing.T) {
	f := newCutFleet(t)
	f.warm()
	f.loseAtPeer("p-0")
	f.links["p-0"].Reset()
	require.NoError(t, f.links["p-0"].Refuse())
	target := f.cut.state.targets["p-0"]
	f.cut.recordCrashIfDown(7, &attempt{target: target, id: target.ID, pool: target.pool})
	require.Len(t, f.cut.state.recentCrashes(), 1)
}
