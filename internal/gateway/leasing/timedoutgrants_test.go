package leasing

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/standin/link/linktest"
	"hemlockquay/internal/upstream"
)

// fakeTarget is a target of a service with one slice. It handles orders in the encoding of
// jsonOrderCodec, by the clock of the test.
type fakeTarget struct {
	clock *manualClock

	mu    sync.Mutex
	fence uint64
	until time.Duration
}

// ServeHTTP implements http.Handler.
func (h *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o lease.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Kind == lease.Release {
		h.fence, h.until = max(h.fence, o.Fence), 0
		return
	}
	if o.Fence < h.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.fence, h.until = o.Fence, h.clock.Now()+o.Hold
}

func (h *fakeTarget) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now() < h.until
}

// Guards against two targets that hold the same keys after a network partition. An owner was cut off
// from all VMs for six seconds, its renewals timed out, and its keys were granted to another target.
// When the partition healed, the owner received the old renewals: the system keeps sending what was
// written to a connection after the connection is closed, while the grantor counted the hold from the
// close. The late fences were exactly those of orders logged as unanswered when the partition began.
// With connections that are reset instead, no keys had two owners.
func TestTimedOutGrantsDoNotArriveAfterPartition(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	old, next := &fakeTarget{clock: clock}, &fakeTarget{clock: clock}
	oldLink, nextLink := linktest.Serve(t, old), linktest.Serve(t, next)
	oldOwner, nextOwner := lease.Owner{ID: "old", Addr: oldLink.Addr()}, lease.Owner{ID: "next", Addr: nextLink.Addr()}
	record := lease.Record{Service: "s", Epoch: 1, Holder: "self", Incarnation: n.Self.Incarnation, Slices: lease.EvenSlices(1, []lease.Owner{oldOwner})}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), timing, clock.Now(), clock.Now()), 1)
	for _, o := range []lease.Owner{oldOwner, nextOwner} {
		require.NoError(t, l.sender(t.Context(), o).pool.Connect(t.Context()))
		l.grants.MarkConfirmed(o)
	}
	// sendDueOrders sends the due orders one after the other and handles their results.
	sendDueOrders := func() {
		for _, o := range l.grants.DueOrders(clock.Now()) {
			sender := l.sender(t.Context(), o.Target)
			if o.Kind == lease.Release {
				l.release(t.Context(), sender, o)
			} else {
				l.sendOrder(t.Context(), sender, o, upstream.KeptConn, grantTimeout)
			}
			(<-l.events)()
		}
	}
	sendDueOrders()
	require.True(t, old.holds())

	oldLink.Cut()
	clock.advance(renewInterval)
	sendDueOrders()
	l.grants.Commit(l.grants.Plan(clock.Now(), []lease.Change{{Slice: 0, To: nextOwner}}), clock.Now())
	for cut := clock.Now(); !next.holds(); clock.advance(orderRetryDelay) {
		require.Less(t, clock.Now(), cut+2*lease.HoldTime, "the keys have no owner")
		sendDueOrders()
	}
	require.False(t, old.holds())

	oldLink.AwaitEnded()
	oldLink.Heal()
	oldLink.Drain()
	require.True(t, next.holds())
	require.False(t, old.holds(), "two targets hold the keys")
}
