package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/platform"
)

// testNode is a node without goroutines, listeners or a store that answers.
func testNode(clock *handClock) *node { return testNodeWithLink(clock, 0) }

func testNodeWithLink(clock *handClock, mbps float64) *node {
	s := &Settings{Store: "127.0.0.1:1", LinkMbps: mbps, MemoryMB: defaultMemory}
	s.VM, s.DataCentre, s.Peers = "self", "a", "127.0.0.1:1"
	n := newNode(s, fakeAdapter{store: downStore{}}, clock, quiet(), metrics.NewRegistry())
	n.mesh.Start(n)
	n.storeUp.Store(true)
	clock.now += meetTime
	return n
}

func (n *node) hear(b mesh.Heartbeat) {
	var reply mesh.Heartbeat
	_ = mesh.Service{Mesh: n.mesh}.Heartbeat(&b, &reply)
}

// The store refuses one VM, the grantor, and serves the others. Keys of a target
// that left had no owner until the store was whole again: seven seconds. Another
// VM that reaches the store must take over, though the grantor lives; not at once,
// since after an outage VMs find the store again one after the other.
func TestGrantorThatTheStoreTurnsAwayIsSucceeded(t *testing.T) {
	clock := &handClock{now: time.Hour}
	n := testNode(clock)
	defer n.mesh.Close()
	holder := mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}
	n.hear(mesh.Heartbeat{From: holder})
	r := n.state
	r.own("s", 3, 1, "t", lease.Served)
	r.leases.Of("s").Holder, r.leases.Of("s").Incarnation = "holder", 5
	k := &keeper{n: n, service: "s"}

	_, stands := k.candidate()
	require.True(t, stands)
	n.hear(mesh.Heartbeat{From: holder, StoreLost: true})
	_, stands = k.candidate()
	require.True(t, stands)
	for range 5 {
		clock.now += strandedAfter / 4
		n.hear(mesh.Heartbeat{From: holder, StoreLost: true})
		_, stands = k.candidate()
	}
	require.False(t, stands)

	n.noteStore(clock.now, platform.ErrUnavailable)
	_, stands = k.candidate()
	require.True(t, stands, "a VM without the store succeeds nobody")
}

// A VM ends. The others must not take the word of its last life for its present
// one.
func TestNewLifeOfTheGrantorDoesNotStand(t *testing.T) {
	clock := &handClock{now: time.Hour}
	n := testNode(clock)
	defer n.mesh.Close()
	n.hear(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 6}})
	n.state.own("s", 3, 1, "t", lease.Served)
	n.state.leases.Of("s").Holder, n.state.leases.Of("s").Incarnation = "holder", 5
	_, stands := (&keeper{n: n, service: "s"}).candidate()
	require.False(t, stands)
}

// The grantor's record met a conflict, and it begins again with a new epoch. All
// others see it live; were it to wait for its place in the line, the keys would
// lapse before it comes.
func TestGrantorBeginsAgainAtOnce(t *testing.T) {
	n := testNode(&handClock{now: time.Hour})
	defer n.mesh.Close()
	for i := range 20 {
		n.hear(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
	}
	n.state.own("s", 3, 1, "t", lease.Served)
	r := n.state.leases.Of("s")
	r.Holder, r.Incarnation = "self", n.self.Incarnation
	rank, stands := (&keeper{n: n, service: "s"}).candidate()
	require.False(t, stands)
	require.Zero(t, rank)
}

// A VM that leaves resigns before it has told anybody of its leases. That must not
// end the process.
func TestResignationBeforeAnythingWasTold(t *testing.T) {
	n := testNode(&handClock{now: time.Hour})
	defer n.mesh.Close()
	record := lease.Record{Service: "s", Epoch: 4, Slices: lease.Even(2, []lease.Owner{{ID: "t"}})}
	timing := lease.Timing{Hold: holdTime, Renew: renewEvery, Retry: orderRetry}
	l := newLeader(&keeper{n: n, service: "s"}, lease.NewGrantor(record, timing, n.clock.Now(), n.clock.Now(), lease.PastEnded), 1)
	l.publish(l.vacant())
	require.Empty(t, n.state.routingOf("s").Holder)
	_, stands := (&keeper{n: n, service: "s"}).candidate()
	require.False(t, stands)
}

// Of 61 VMs eight had links twenty times as fast as the others', and the grantor was one
// of the others: its grants took 100 ms each.
func TestVMsWithMuchFasterLinksComeFirstForDuties(t *testing.T) {
	place := func(own float64, others ...uint32) int {
		n := testNodeWithLink(&handClock{now: time.Hour}, own)
		defer n.mesh.Close()
		for i, link := range others {
			n.hear(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1, LinkMbps: link}})
		}
		return n.place("s")
	}
	require.Zero(t, place(200, 10, 10, 10, 10, 10, 10))
	require.Equal(t, 6, place(10, 200, 200, 200, 200, 200, 200))
	require.Equal(t, place(0, 0, 0, 0), place(1000, 1000, 1000, 1000))
	require.Equal(t, place(900, 900, 900, 900), place(900, 1000, 1000, 1000), "small differences change nothing")
}

// The store was away for eight seconds and is back. A watch that was sent before runs into
// its timeout after other calls were answered: the VM still reaches the store. Taken for
// cut off, a grantor was succeeded while it lived.
func TestCallsFromBeforeTheStoreReturnedDoNotLoseItAgain(t *testing.T) {
	clock := &handClock{now: time.Hour}
	n := testNode(clock)
	defer n.mesh.Close()
	sent := clock.now
	n.noteStore(sent, platform.ErrUnavailable)
	require.True(t, n.Heartbeat().StoreLost)
	clock.now += time.Second
	n.noteStore(clock.now, nil)
	require.False(t, n.Heartbeat().StoreLost)
	n.noteStore(sent, platform.ErrAmbiguous)
	require.False(t, n.Heartbeat().StoreLost, "the call is older than the latest answer")
	n.noteStore(clock.now, platform.ErrAmbiguous)
	require.True(t, n.Heartbeat().StoreLost)
	n.noteStore(clock.now, platform.ErrGone)
	require.False(t, n.Heartbeat().StoreLost, "a store that has dropped its history answers")
	n.noteStore(clock.now, errors.Join(platform.ErrAmbiguous, context.Canceled))
	require.False(t, n.Heartbeat().StoreLost, "a call that was given up says nothing")
}

// changingStore is away, or holds one record and takes every write of it.
type changingStore struct {
	downStore
	up     atomic.Bool
	record platform.Object
}

func (s *changingStore) Get(context.Context, platform.ID) (platform.Object, error) {
	if !s.up.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.record, nil
}

func (s *changingStore) Put(_ context.Context, o platform.Object) (platform.Object, error) {
	if !s.up.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	s.record = o
	return o, nil
}

// The store goes away, and right after that the grantor's VM is told to stop. It resigned
// at once, nobody could take over without the store, and no key of the service was served
// until it was back. It goes on, and resigns when the store answers.
func TestGrantorThatLeavesGoesOnWhileNobodyCanTakeOver(t *testing.T) {
	clock := &handClock{now: time.Hour}
	n := testNode(clock)
	defer n.mesh.Close()
	record := lease.Record{Service: "s", Epoch: 4, Holder: "self", Incarnation: n.self.Incarnation, Slices: lease.Even(2, []lease.Owner{{ID: "t"}})}
	spec, err := json.Marshal(record)
	require.NoError(t, err)
	store := &changingStore{record: platform.Object{Kind: kindLeases, Name: "s", Version: 1, Spec: spec}}
	n.store = store
	timing := lease.Timing{Hold: holdTime, Renew: renewEvery, Retry: orderRetry}
	l := newLeader(&keeper{n: n, service: "s"}, lease.NewGrantor(record, timing, clock.now, clock.now, lease.PastEnded), 1)
	n.leaving.Store(true)
	tries := func(count int) {
		for range count {
			clock.now += resignPause
			l.step(t.Context())
			(<-l.events)()
		}
	}
	tries(5)
	require.False(t, l.resigning)
	require.NotZero(t, l.orderUntil.Load(), "it may still order")

	store.up.Store(true)
	tries(1)
	require.True(t, l.resigning)
	require.Zero(t, l.orderUntil.Load(), "the record is written after the last order")
	(<-l.events)()
	require.True(t, l.deposed)
	require.NoError(t, json.Unmarshal(store.record.Spec, &record))
	require.True(t, record.Resigned)
}

// The store goes away between the grantor's question and its resignation, and says that it
// has done nothing. The grantor still has its duty.
func TestResignationThatTheStoreRefusesChangesNothing(t *testing.T) {
	n := testNode(&handClock{now: time.Hour})
	defer n.mesh.Close()
	record := lease.Record{Service: "s", Epoch: 4, Slices: lease.Even(2, []lease.Owner{{ID: "t"}})}
	l := newLeader(&keeper{n: n, service: "s"}, lease.NewGrantor(record, lease.Timing{Hold: holdTime}, n.clock.Now(), n.clock.Now(), lease.PastEnded), 1)
	l.resign(t.Context())
	(<-l.events)()
	require.False(t, l.deposed)
	require.False(t, l.resigning)
	l.resigned(platform.ErrAmbiguous)
	require.True(t, l.deposed, "it may have been taken: another may lead already")
}

// The other side: a grantor that leaves and still has its duty is not succeeded. One that
// took over while it was still sending orders had to wait for the end of its authority.
func TestGrantorThatLeavesStandsUntilItResigns(t *testing.T) {
	n := testNode(&handClock{now: time.Hour})
	defer n.mesh.Close()
	n.state.own("s", 3, 1, "t", lease.Served)
	r := n.state.leases.Of("s")
	r.Holder, r.Incarnation = "holder", 5
	n.hear(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}, Leaving: true})
	_, stands := (&keeper{n: n, service: "s"}).candidate()
	require.True(t, stands)
	r.Holder = ""
	_, stands = (&keeper{n: n, service: "s"}).candidate()
	require.False(t, stands)
}
