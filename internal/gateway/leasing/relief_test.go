package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
)

// loadedLeader returns the grantor of owners that hold as many slices each, with one request per second for each slice.
func loadedLeader(n *node, clock *manualClock, live []lease.Owner, count int) *leader {
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(count, live)}
	load := newLoadView()
	for range 20 {
		clock.advance(time.Second)
		load.rates.Advance(clock.Now())
		for _, s := range record.Slices {
			load.rates.Add(s.From, 1)
		}
	}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), timing, clock.Now(), clock.Now()), 1)
	l.load = load
	for _, o := range live {
		l.grants.MarkConfirmed(o)
	}
	for _, o := range l.grants.DueOrders(clock.Now()) {
		l.grants.HandleResult(o, lease.Done, "", clock.Now(), clock.Now())
	}
	return l
}

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
	l := loadedLeader(n, clock, live, 8)
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

// refusingDirectory is a directory in which some targets refuse requests.
type refusingDirectory struct {
	fixedDirectory
	refusing map[string]bool
}

func (d refusingDirectory) Refusing(target string) bool { return d.refusing[target] }

// Guards against an owner that refuses all requests and keeps its keys, and against keys that move about while all refuse.
func TestOwnerThatRefusesRequestsGivesUpKeys(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	live := []lease.Owner{{ID: "a"}, {ID: "b"}, {ID: "refusing"}}
	l := loadedLeader(n, clock, live, 12)
	directory := refusingDirectory{refusing: map[string]bool{"refusing": true}}
	n.TargetDirectory = directory
	clock.advance(spreadInterval)
	moves := l.spreadLoad(live, clock.Now())
	require.Len(t, moves, 4)
	for _, c := range moves {
		require.Equal(t, "refusing", l.grants.Record().Slices[c.Slice].Owner.ID)
		require.NotEqual(t, "refusing", c.To.ID)
	}
	require.True(t, l.targetLoad(live, clock.Now()).Busy(live[2]), "it gets none back")
	directory.refusing["a"] = true
	clock.advance(spreadInterval)
	require.Empty(t, l.spreadLoad(live, clock.Now()), "most owners refuse")
}

// Guards against keys that return to an owner each time it stops refusing for a moment.
func TestOwnerThatRefusesAgainWaitsLonger(t *testing.T) {
	r, o, now := make(reliefs), lease.Owner{ID: "a"}, time.Hour
	waits := func() (wait time.Duration) {
		require.True(t, r.update(o, true, now))
		begin := now
		for now += 100 * time.Millisecond; r.update(o, false, now); now += 100 * time.Millisecond {
		}
		return now - begin
	}
	require.Equal(t, minRelief, waits())
	require.Equal(t, 2*minRelief, waits())
	for range 5 {
		waits()
	}
	require.Equal(t, maxRelief, waits())
	now += relapseTime + time.Second
	require.False(t, r.update(o, false, now))
	require.Equal(t, minRelief, waits())
}
