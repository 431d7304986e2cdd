package leasing

import (
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
	n.TargetDirectory = listedTargets{view: catalog.NewView(nil, catalog.Targets{Revision: 1, List: list})}
	record := lease.Record{Service: "s", Epoch: 4, Holder: "self", Incarnation: n.Self.Incarnation, Slices: lease.EvenSlices(2*len(owners), owners)}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	now := n.Clock.Now()
	return newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, now, now, lease.PriorGrantsEnded), 1)
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
	for end := clock.Now() + lease.HoldTime; clock.Now() < end && !l.mostOwnersSilent(clock.Now()); {
		l.tryConnect(t, clock)
	}
	require.True(t, l.mostOwnersSilent(clock.Now()+planInterval))
}
