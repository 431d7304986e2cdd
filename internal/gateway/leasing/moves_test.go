package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
)

// Guards against moves of keys without a cause in the log.
func TestPlannedMovesHaveACause(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	inService, silent, ended, left, fresh := lease.Owner{ID: "in-service"}, lease.Owner{ID: "silent"}, lease.Owner{ID: "ended"}, lease.Owner{ID: "left"}, lease.Owner{ID: "fresh"}
	directory := fixedDirectory{}
	for _, o := range []lease.Owner{inService, silent, ended, fresh} {
		directory.list = append(directory.list, catalog.Target{ID: o.ID, Service: "s", Slots: 1})
	}
	n.TargetDirectory = directory
	owners := []lease.Owner{inService, silent, ended, left}
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(16, owners)}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), timing, clock.Now(), clock.Now()), 1)
	for _, o := range owners {
		l.grants.MarkConfirmed(o)
	}
	answer := func(unanswered lease.Owner) {
		for _, o := range l.grants.DueOrders(clock.Now()) {
			result := lease.Done
			if o.Target.SameIncarnation(unanswered) {
				result = lease.Unanswered
			}
			l.grants.HandleResult(o, result, "", clock.Now(), clock.Now())
		}
	}
	answer(lease.Owner{})
	l.grants.MarkEnded(ended)
	clock.advance(renewInterval)
	answer(silent)
	clock.advance(ownerSilenceTimeout)

	changes, cause := l.plan(clock.Now())
	require.Empty(t, cause, "each change must have a cause of its own")
	want := map[lease.Owner]moveCause{silent: ownerSilent, ended: ownerEnded, left: ownerNotListed}
	seen := make(map[moveCause]bool)
	for _, c := range changes {
		owner := l.grants.Record().Slices[c.Slice].Owner
		require.Equal(t, want[owner], l.absenceCause(owner, l.eligibleOwners()), owner.ID)
		require.NotEmpty(t, want[owner], "%s is in service", owner.ID)
		seen[want[owner]] = true
	}
	require.Len(t, seen, len(want))
}
