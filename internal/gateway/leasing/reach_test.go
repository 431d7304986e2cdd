package leasing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
)

// listedTargets is a directory that lists targets of the service s.
type listedTargets struct {
	emptyDirectory
	view *catalog.View
}

func (d listedTargets) View() *catalog.View { return d.view }

// newLeaderOf returns a grantor of the owners, none of which has answered it.
func newLeaderOf(n *node, owners []lease.Owner) *leader {
	var list []catalog.Target
	for _, o := range owners {
		list = append(list, catalog.Target{ID: o.ID, Service: "s", Addr: o.Addr, Born: o.Born})
	}
	n.TargetDirectory = listedTargets{view: catalog.NewView(nil, catalog.Targets{Revision: 1, List: list}, catalog.Evacuations{})}
	record := lease.Record{Service: "s", Epoch: 4, Holder: "self", Incarnation: n.Self.Incarnation, Slices: lease.EvenSlices(2*len(owners), owners)}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	now := n.Clock.Now()
	return newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, now, now), 1)
}

// unreachableOwners returns owners at addresses where nothing listens.
func unreachableOwners(count int) []lease.Owner {
	var out []lease.Owner
	for i := range count {
		out = append(out, lease.Owner{ID: fmt.Sprintf("t-%d", i), Addr: "127.0.0.1:1", Born: 1})
	}
	return out
}

// tryConnect lets the grantor try once to connect to the owners to which it has no connection.
func (l *leader) tryConnect(t *testing.T, clock *manualClock) {
	clock.advance(incarnationCheckInterval)
	l.confirmIncarnations(t.Context(), clock.Now())
	(<-l.events)()
}

// Guards against a successor that is cut off from all owners and keeps the service without grants.
func TestGrantorThatNeverReachesItsOwnersResigns(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	l := newLeaderOf(n, unreachableOwners(4))
	for end := clock.Now() + lease.HoldTime; clock.Now() < end && !l.isolated(clock.Now()); {
		l.tryConnect(t, clock)
	}
	require.True(t, l.isolated(clock.Now()))
}

// fakeReach answers what VMs reach.
type fakeReach struct{ here, others int }

func (r *fakeReach) ReachedHere(context.Context, []string) int     { return r.here }
func (r *fakeReach) ReachedByOthers(context.Context, []string) int { return r.others }

// newIsolatedLeader returns a grantor that reaches none of its four owners.
func newIsolatedLeader(t *testing.T, reach *fakeReach) (*leader, *manualClock) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	t.Cleanup(n.mesh.Close)
	n.Reach = reach
	l := newLeaderOf(n, unreachableOwners(4))
	for !l.isolated(clock.Now()) {
		l.tryConnect(t, clock)
	}
	return l, clock
}

// askOthers lets the grantor ask other VMs once.
func (l *leader) askOthers(t *testing.T, clock *manualClock) {
	clock.advance(reachQueryInterval)
	l.yieldIfIsolated(t.Context(), clock.Now())
	(<-l.events)()
}

// Guards against moving the keys of owners that only this grantor does not reach.
func TestIsolatedGrantorMovesNoKeysAndYields(t *testing.T) {
	l, clock := newIsolatedLeader(t, &fakeReach{others: 4})
	l.askOthers(t, clock)
	clock.advance(yieldTime / 2)
	require.Less(t, clock.Now(), l.yieldUntil)
	require.False(t, l.mayReplaceSilent(clock.Now()))
	require.Len(t, l.liveOwners(clock.Now()), 4)
}

// Guards against grantors that resign one after the other while the owners are gone.
func TestGrantorStaysIfNoOtherVMReachesTheOwners(t *testing.T) {
	l, clock := newIsolatedLeader(t, &fakeReach{others: 1})
	l.askOthers(t, clock)
	require.Zero(t, l.yieldUntil)
	require.True(t, l.mayReplaceSilent(clock.Now()))
	clock.advance(ownerSilenceTimeout)
	l.askOthers(t, clock)
	require.Empty(t, l.liveOwners(clock.Now()), "their keys move")
}

// Guards against a target that is never used again after it was silent and lost all its keys.
func TestSilentTargetWithoutKeysIsUsedAgain(t *testing.T) {
	reach := &fakeReach{}
	l, clock := newIsolatedLeader(t, reach)
	clock.advance(maxUndecidedTime)
	l.askOthers(t, clock)
	spare := lease.Owner{ID: "spare", Addr: "127.0.0.1:1", Born: 1}
	l.TargetDirectory = listedTargets{view: catalog.NewView(nil, catalog.Targets{Revision: 2, List: []catalog.Target{{ID: spare.ID, Service: "s", Addr: spare.Addr, Born: 1}}}, catalog.Evacuations{})}
	l.grants.MarkUnconnected(spare, clock.Now(), clock.Now())
	require.Empty(t, l.liveOwners(clock.Now()))
	reach.here = 1
	l.retrySilentTargets(t.Context(), clock.Now())
	(<-l.events)()
	require.Equal(t, []lease.Owner{spare}, l.liveOwners(clock.Now()))
}
