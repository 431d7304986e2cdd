package leasing

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
)

// testBytesPerSecond is the capacity of a link that is fast enough for every update of the tests.
const testBytesPerSecond = 100 * mesh.BytesPerMbit

// fakePeer is another VM. It applies each update after a delay, or fails the first ones.
type fakePeer struct {
	state    *state
	delay    time.Duration
	failures int
	updates  []*lease.Update
}

func (p *fakePeer) push(ctx context.Context, _ string, u *lease.Update) (bool, error) {
	time.Sleep(p.delay)
	if p.failures > 0 {
		p.failures--
		return false, errors.New("update lost")
	}
	p.updates = append(p.updates, u)
	return p.state.updateRouting(u), ctx.Err()
}

// owners returns a routing of a hundred slices in which the first ones have moved.
func owners(seq uint64, moved int) *lease.Routing {
	r := lease.Record{Service: "s", Epoch: 3, Slices: lease.EvenSlices(100, []lease.Owner{{ID: "a"}, {ID: "b"}})}
	for i := range moved {
		r.Slices[i].Owner = lease.Owner{ID: "c"}
	}
	return lease.NewRouting(r, seq, func(int) lease.SliceState { return lease.Served })
}

// Guards against a queue of updates to a slow VM, which would fill the grantor's link.
func TestSlowVMSkipsIntermediateVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{state: testState(newManualClock(0)), delay: 50 * time.Millisecond}
		l := newLeaseBroadcaster(peer.push, discardLogger(), testBytesPerSecond, nil)
		for seq := range 100 {
			l.Publish(t.Context(), owners(uint64(seq+1), seq), []string{"vm"})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		require.True(t, peer.state.routingOf("s").SameAs(owners(100, 99)))
		require.LessOrEqual(t, len(peer.updates), 4, "more than one update was in flight")
		slices := 0
		for _, u := range peer.updates[1:] {
			slices += len(u.Routing.From)
		}
		require.LessOrEqual(t, slices, 100, "a changed slice was sent more than once")
	})
}

func TestVMWithUnexpectedVersionGetsFullUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{state: testState(newManualClock(0))}
		l := newLeaseBroadcaster(peer.push, discardLogger(), testBytesPerSecond, nil)
		l.Publish(t.Context(), owners(1, 0), []string{"vm"})
		synctest.Wait()
		peer.state = testState(newManualClock(0))
		l.Publish(t.Context(), owners(2, 1), []string{"vm"})
		synctest.Wait()
		require.True(t, peer.state.routingOf("s").SameAs(owners(2, 1)))
		require.Len(t, peer.updates, 3)
		require.Zero(t, peer.updates[2].Base)
	})
}

func TestFailedUpdateIsFollowedByFullUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{state: testState(newManualClock(0))}
		l := newLeaseBroadcaster(peer.push, discardLogger(), testBytesPerSecond, nil)
		l.Publish(t.Context(), owners(1, 0), []string{"vm"})
		synctest.Wait()
		peer.failures = 1
		l.Publish(t.Context(), owners(2, 1), []string{"vm"})
		synctest.Wait()
		l.Publish(t.Context(), owners(3, 2), []string{"vm"})
		synctest.Wait()
		require.True(t, peer.state.routingOf("s").SameAs(owners(3, 2)))
		require.Zero(t, peer.updates[1].Base)
	})
}

// Guards against an update and a log line per changed slice to a VM whose process is gone.
func TestUnreachableVMGetsFewUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		refuse := func(context.Context, string, *lease.Update) (bool, error) {
			tries++
			return false, errors.New("connection refused")
		}
		l := newLeaseBroadcaster(refuse, discardLogger(), testBytesPerSecond, nil)
		for seq := range 500 {
			l.Publish(t.Context(), owners(uint64(seq+1), 0), []string{"vm"})
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, tries, 3)
	})
}

// Guards against one version per slice while the owners answer a successor's first grants.
func TestSuccessionPublishesFewVersions(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l, _ := leadingNode(t, n)
	for i := range 60 {
		l.load.limits = map[uint16]lease.Limit{0: lease.Limit(i + 1)}
		l.publishChanges(clock.Now())
		clock.advance(time.Millisecond)
	}
	require.LessOrEqual(t, l.publishedSeq, uint64(4))
}

// Guards against a successor that sends full updates to all VMs at once, which would fill its link.
func TestSuccessorSendsDeltaFromPredecessorsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &fakePeer{state: testState(newManualClock(0))}
		last := owners(7, 0)
		peer.state.leases.Set(last)
		first := owners(1, 2)
		first.Epoch++
		b := newLeaseBroadcaster(peer.push, discardLogger(), testBytesPerSecond, last)
		b.Publish(t.Context(), first, []string{"vm"})
		synctest.Wait()
		require.Len(t, peer.updates, 1)
		require.Len(t, peer.updates[0].Routing.From, 2)
		require.True(t, peer.state.routingOf("s").SameAs(first))
		require.Equal(t, first.Epoch, peer.state.routingOf("s").Epoch)
	})
}

// slowLink is a link that carries the updates to many VMs, and those VMs. Updates are sent over the
// link one after the other.
type slowLink struct {
	bytesPerSecond float64

	mu       sync.Mutex
	freeAt   time.Time
	received map[string]uint64
	timeouts int
}

func (l *slowLink) push(ctx context.Context, vm string, u *lease.Update) (bool, error) {
	size := typicalDeltaBytes
	if u.Base == 0 {
		size = u.Routing.WireSize()
	}
	if !pause.For(ctx, time.Until(l.enqueue(size))) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.timeouts++
		return false, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[vm] = u.Routing.Seq
	return true, nil
}

// enqueue returns when the link will have carried so many more bytes.
func (l *slowLink) enqueue(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// Guards against a grantor whose own updates time out because together they exceed its link.
func TestUpdatesInFlightAreBoundedByTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond, vms = 10 * mesh.BytesPerMbit, 200
		link := &slowLink{bytesPerSecond: bytesPerSecond, received: make(map[string]uint64)}
		var names []string
		for i := range vms {
			names = append(names, fmt.Sprintf("vm-%d", i))
		}
		r := lease.Record{Service: "s", Epoch: 3}
		var targets []lease.Owner
		for i := range 340 {
			targets = append(targets, lease.Owner{ID: fmt.Sprintf("i-%010x", i)})
		}
		r.Slices = lease.EvenSlices(570, targets)
		routing := lease.NewRouting(r, 1, func(int) lease.SliceState { return lease.Served })
		b := newLeaseBroadcaster(link.push, discardLogger(), bytesPerSecond, nil)
		b.Publish(t.Context(), routing, names)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Len(t, link.received, vms)
		require.Zero(t, link.timeouts)
	})
}
