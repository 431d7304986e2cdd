package leasing

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/platform"
)

// Guards against keys without an owner while the store rejects only the grantor's calls.
func TestGrantorIsolatedFromStoreIsReplaced(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	holder := mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}
	n.receive(mesh.Heartbeat{From: holder})
	r := n.state
	r.setOwner("s", 3, 1, "t", lease.Served)
	r.leases.Get("s").Holder, r.leases.Get("s").Incarnation = "holder", 5
	c := &candidate{Manager: n.Manager, service: "s"}

	_, healthy := c.succession()
	require.True(t, healthy)
	n.receive(mesh.Heartbeat{From: holder, StoreLost: true})
	_, healthy = c.succession()
	require.True(t, healthy)
	for range 5 {
		clock.advance(minIsolationTime / 4)
		n.receive(mesh.Heartbeat{From: holder, StoreLost: true})
		_, healthy = c.succession()
	}
	require.False(t, healthy)

	n.storeUp.Store(false)
	_, healthy = c.succession()
	require.True(t, healthy, "a VM without the store must not take over")
}

// Guards against replacing a grantor that reaches the store through another VM.
func TestGrantorWithStoreRelayIsNotReplaced(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	holder := mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	n.state.leases.Get("s").Holder, n.state.leases.Get("s").Incarnation = "holder", 5
	c := &candidate{Manager: n.Manager, service: "s"}
	for range 20 {
		clock.advance(minIsolationTime / 4)
		n.receive(mesh.Heartbeat{From: holder, StoreLost: true, StoreRelayed: true})
		_, healthy := c.succession()
		require.True(t, healthy)
	}
}

// leadingNode returns the node as a grantor, and its store, which holds the record but is down.
func leadingNode(t *testing.T, n *node) (*leader, *fakeStore) {
	record := lease.Record{Service: "s", Epoch: 4, Holder: "self", Incarnation: n.Self.Incarnation, Slices: lease.EvenSlices(2, []lease.Owner{{ID: "t"}})}
	spec, err := json.Marshal(record)
	require.NoError(t, err)
	store := &fakeStore{record: platform.Object{Kind: kindLeases, Name: "s", Version: 1, Spec: spec}}
	n.Store = store
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	now := n.Clock.Now()
	return newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, now, now), 1), store
}

// Guards against other VMs learning too late that a relay works: the grantor must confirm its epoch
// through the relay at the shorter interval.
func TestGrantorConfirmsEpochThroughRelay(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, store := leadingNode(t, n)
	store.up.Store(true)
	n.storeUp.Store(false)
	n.receive(mesh.Heartbeat{From: mesh.Member{VM: "relay", Addr: "127.0.0.1:1", Incarnation: 5}})
	clock.advance(relayedConfirmInterval + time.Millisecond)
	l.confirmEpoch(t.Context(), clock.Now())
	(<-l.events)()
	require.Equal(t, clock.Now(), l.grants.ConfirmedAt())
}

// Guards against a takeover at the end of an outage by a VM that made no call during it and still
// considers the store up.
func TestNoTakeoverRightAfterStoreOutage(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	holder := mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}
	record := lease.Record{Service: "s", Epoch: 3, Holder: "holder", Incarnation: 5, Slices: lease.EvenSlices(2, []lease.Owner{{ID: "t"}})}
	spec, err := json.Marshal(record)
	require.NoError(t, err)
	store := &fakeStore{record: platform.Object{Kind: kindLeases, Name: "s", Version: 1, Spec: spec}}
	n.Store = store
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	n.state.leases.Get("s").Holder, n.state.leases.Get("s").Incarnation = "holder", 5
	c := &candidate{Manager: n.Manager, service: "s"}
	// With an ended context, a leader returns at once.
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	epoch := func() uint64 {
		var r lease.Record
		require.NoError(t, json.Unmarshal(store.record.Spec, &r))
		return r.Epoch
	}
	stranded := func(d time.Duration) {
		for end := clock.Now() + d; clock.Now() < end; {
			clock.advance(minIsolationTime / 4)
			n.receive(mesh.Heartbeat{From: holder, StoreLost: true})
			_, _ = c.succession()
		}
	}
	stranded(2 * minIsolationTime)
	_, healthy := c.succession()
	require.False(t, healthy)
	require.Error(t, c.takeOver(ended), "the store is down")
	store.up.Store(true)
	require.NoError(t, c.takeOver(ended))
	require.EqualValues(t, 3, epoch(), "took over right after the store came back")

	stranded(2 * minIsolationTime)
	require.NoError(t, c.takeOver(ended))
	require.EqualValues(t, 4, epoch(), "did not take over although the grantor stays isolated from the store")
}

// Guards against a VM that counts as the grantor although its process has restarted.
func TestRestartedGrantorProcessIsReplaced(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	n.receive(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 6}})
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	n.state.leases.Get("s").Holder, n.state.leases.Get("s").Incarnation = "holder", 5
	_, healthy := (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.False(t, healthy)
}

// Guards against grants that expire while a grantor whose epoch ended waits for its turn to succeed
// itself.
func TestGrantorTakesOverItsOwnEndedEpochAtOnce(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	for i := range 20 {
		n.receive(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
	}
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	r := n.state.leases.Get("s")
	r.Holder, r.Incarnation = "self", n.Self.Incarnation
	rank, healthy := (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.False(t, healthy)
	require.Zero(t, rank)
}

// Guards against a crash of a grantor that resigns before it has published any leases.
func TestResignationBeforeFirstPublication(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	record := lease.Record{Service: "s", Epoch: 4, Slices: lease.EvenSlices(2, []lease.Owner{{ID: "t"}})}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, n.Clock.Now(), n.Clock.Now()), 1)
	l.publish(l.vacantRouting())
	require.Empty(t, n.state.routingOf("s").Holder)
	_, healthy := (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.False(t, healthy)
}

// Guards against keys without a grantor: a leaving grantor resigned while the store was down, so no VM
// could take over.
func TestLeavingGrantorContinuesWhileStoreIsUnavailable(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, store := leadingNode(t, n)
	n.leaving.Store(true)
	tries := func(count int) {
		for range count {
			clock.advance(resignRetryInterval)
			n.receive(mesh.Heartbeat{From: mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 5}})
			l.step(t.Context())
			(<-l.events)()
		}
	}
	tries(5)
	require.False(t, l.resigning)
	require.NotZero(t, l.orderDeadline.Load(), "it must still be able to send orders")

	store.up.Store(true)
	tries(1)
	require.True(t, l.resigning)
	require.Zero(t, l.orderDeadline.Load(), "orders may be sent after the resignation is written")
	(<-l.events)()
	require.True(t, l.epochEnded)
	var record lease.Record
	require.NoError(t, json.Unmarshal(store.record.Spec, &record))
	require.True(t, record.Resigned)
}

// Guards against a grantor that stops although the store has not applied its resignation.
func TestRejectedResignationKeepsGrantor(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	record := lease.Record{Service: "s", Epoch: 4, Slices: lease.EvenSlices(2, []lease.Owner{{ID: "t"}})}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, lease.Timing{Hold: lease.HoldTime}, n.Clock.Now(), n.Clock.Now()), 1)
	l.resign(t.Context())
	(<-l.events)()
	require.False(t, l.epochEnded)
	require.False(t, l.resigning)
	l.handleResignation(platform.ErrAmbiguous)
	require.True(t, l.epochEnded, "the store may have applied the write, so another VM may lead already")
}

// Guards against a takeover from a leaving grantor that still sends orders: the successor would have to
// wait until its authority expires.
func TestLeavingGrantorIsNotReplacedBeforeItResigns(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	r := n.state.leases.Get("s")
	r.Holder, r.Incarnation = "holder", 5
	n.receive(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}, Leaving: true})
	_, healthy := (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.True(t, healthy)
	r.Holder = ""
	_, healthy = (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.False(t, healthy)
}

// Guards against keys without a grantor from the stop of all VMs until the first one has restarted.
func TestLeavingGrantorContinuesWhileAllOthersLeave(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, store := leadingNode(t, n)
	store.up.Store(true)
	other := mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 5}
	n.leaving.Store(true)
	for range 5 {
		clock.advance(resignRetryInterval)
		n.receive(mesh.Heartbeat{From: other, Leaving: true})
		l.step(t.Context())
		require.Zero(t, l.nextResign, "tried to resign although all other VMs are leaving")
	}
	require.NotZero(t, l.orderDeadline.Load(), "it must still be able to send orders")

	n.receive(mesh.Heartbeat{From: mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 6}})
	clock.advance(resignRetryInterval)
	l.step(t.Context())
	for !l.resigning {
		(<-l.events)()
	}
	require.True(t, l.resigning, "did not resign although a restarted VM can take over")
}

// Guards against keys without a grantor until the first VM has restarted, when all VMs are leaving.
func TestLeavingVMTakesOverWhenAllOthersLeave(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	n.receive(mesh.Heartbeat{From: mesh.Member{VM: "other", Addr: "127.0.0.1:1", Incarnation: 5}, Leaving: true})
	n.leaving.Store(true)
	rank, healthy := (&candidate{Manager: n.Manager, service: "s"}).succession()
	require.False(t, healthy)
	require.GreaterOrEqual(t, rank, 0)
}

// Guards against a successor that must wait until its predecessor, whose process has exited, counts as
// lost.
func TestLeavingGrantorResignsBeforeExit(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, store := leadingNode(t, n)
	store.up.Store(true)
	n.leaving.Store(true)
	n.endsIn.Store(int64(finalResignWindow))
	require.False(t, l.shouldHandOver())
	n.endsIn.Store(int64(finalResignWindow - time.Millisecond))
	l.step(t.Context())
	for !l.resigning {
		(<-l.events)()
	}
}

// Guards against a leaving VM that takes over before a VM that stays, or when it has no time left to
// grant anything.
func TestLeavingVMRanksAfterStayingVMs(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	defer n.mesh.Close()
	n.state.setOwner("s", 3, 1, "t", lease.Served)
	c := &candidate{Manager: n.Manager, service: "s"}
	n.leaving.Store(true)
	alone, _ := c.succession()
	for i := range 2 * closeMonitors {
		n.receive(mesh.Heartbeat{From: mesh.Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
	}
	rank, _ := c.succession()
	require.Equal(t, alone+closeMonitors+2*closeMonitors, rank, "its rank, which is the last here, after the closeMonitors VMs that stay")
	n.endsIn.Store(int64(minTerm - time.Millisecond))
	rank, _ = c.succession()
	require.Negative(t, rank)
}

// Guards against a successor that drops the wait for grantors before its predecessor: the record that it writes before its first grant states it.
func TestTakeoverStatesTheWaitForAllEarlierGrantors(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name string
		old  lease.Record
		want time.Duration
	}{
		{"resigned", lease.Record{Holder: "b", Resigned: true, Earlier: lease.ArrivalWithin(9 * time.Second)}, 9 * time.Second},
		{"resigned, nothing before it", lease.Record{Holder: "b", Resigned: true, Earlier: lease.NoArrival}, time.Second},
		{"restarted here", lease.Record{Holder: "self", HolderAddr: "127.0.0.1:1", Incarnation: 3, Earlier: lease.ArrivalWithin(9 * time.Second)}, 9 * time.Second},
		{"lost", lease.Record{Holder: "b", HolderAddr: "127.0.0.1:2", Incarnation: 3, Earlier: lease.NoArrival}, lease.Authority + time.Second},
		{"written by an older program", lease.Record{Holder: "b", Resigned: true}, lease.Authority + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := testNode(newManualClock(time.Hour))
			defer n.mesh.Close()
			c.old.Service, c.old.Epoch, c.old.Slices = "s", 3, lease.EvenSlices(2, []lease.Owner{{ID: "t"}})
			spec, err := json.Marshal(c.old)
			require.NoError(t, err)
			store := &fakeStore{record: platform.Object{Kind: kindLeases, Name: "s", Version: 1, Spec: spec}}
			store.up.Store(true)
			n.Store = store
			require.NoError(t, (&candidate{Manager: n.Manager, service: "s"}).takeOver(ended))
			var r lease.Record
			require.NoError(t, json.Unmarshal(store.record.Spec, &r))
			require.EqualValues(t, 4, r.Epoch)
			require.Equal(t, c.want, r.Earlier.Within())
		})
	}
}

// Guards against keys that get second owners when the record of a live grantor is removed: a successor does not know which targets hold them.
func TestKeysOfARemovedRecordAreAssignedOnceAllGrantsHaveExpired(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	n.TargetDirectory = listedTargets{view: catalog.NewView(nil, catalog.Targets{Revision: 1, List: []catalog.Target{{ID: "t", Service: "s", Born: 1}}}, catalog.Evacuations{})}
	store := &fakeStore{}
	store.up.Store(true)
	n.Store = store
	n.state.setOwner("s", 7, 1, "other", lease.Served)
	n.state.leases.Get("s").Holder, n.state.leases.Get("s").Incarnation = "holder", 5
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c := &candidate{Manager: n.Manager, service: "s"}
	takenOver := func() bool {
		require.NoError(t, c.takeOver(ended))
		return store.record.Spec != nil
	}
	require.False(t, takenOver())
	clock.advance(targetListSettleTime)
	require.False(t, takenOver())
	clock.advance(lease.Authority + lease.HoldTime)
	require.False(t, takenOver(), "the last grant of the grantor may have been in transit")
	clock.advance(2 * time.Second)
	require.True(t, takenOver())
	var r lease.Record
	require.NoError(t, json.Unmarshal(store.record.Spec, &r))
	require.EqualValues(t, 8, r.Epoch, "a lower fence would be refused by the targets")
}

// Guards against a grantor that stays without authority for good, because its record was removed.
func TestGrantorWithoutARecordEndsWithItsAuthority(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, store := leadingNode(t, n)
	store.record = platform.Object{}
	store.up.Store(true)
	n.StoreRetryDelay = time.Millisecond
	read := func() bool {
		l.readEpoch(t.Context())
		(<-l.events)()
		return l.epochEnded
	}
	clock.advance(lease.Authority - time.Millisecond)
	require.False(t, read(), "it may still send orders")
	clock.advance(time.Millisecond)
	require.True(t, read())
}
