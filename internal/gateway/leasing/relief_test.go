package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
)

// limitedDirectory is a directory in which one target states a limit.
type limitedDirectory struct {
	fixedDirectory
	target    string
	perSecond float64
}

func (d limitedDirectory) Limit(target string) (float64, bool) {
	return d.perSecond, target == d.target
}

// Guards against an owner that states a limit and keeps all of its keys, although others have room.
func TestOwnerThatStatesALimitGivesUpKeys(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	limited, other := lease.Owner{ID: "limited"}, lease.Owner{ID: "other"}
	live := []lease.Owner{limited, other}
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(8, live)}
	load := newLoadView()
	for range 20 {
		clock.advance(time.Second)
		load.rates.Advance(clock.Now())
		for _, s := range record.Slices {
			load.rates.Add(s.From, 1)
		}
	}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, clock.Now(), clock.Now(), lease.NoPriorGrants), 1)
	l.load = load
	for _, o := range live {
		l.grants.MarkConfirmed(o)
	}
	for _, o := range l.grants.DueOrders(clock.Now()) {
		l.grants.HandleResult(o, lease.Done, "", clock.Now(), clock.Now())
	}
	require.Empty(t, l.spreadLoad(live, clock.Now()), "no owner is loaded")
	n.TargetDirectory = limitedDirectory{target: limited.ID, perSecond: 2}
	clock.advance(spreadInterval)
	moves := l.spreadLoad(live, clock.Now())
	require.NotEmpty(t, moves)
	for _, c := range moves {
		require.True(t, l.grants.Record().Slices[c.Slice].Owner.SameIncarnation(limited))
		require.True(t, c.To.SameIncarnation(other))
	}
}
