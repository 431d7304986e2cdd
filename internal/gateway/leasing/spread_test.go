package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
)

// Guards against moves that wait for a slice which cannot be split while its renewal is in flight.
func TestUnsplittableSliceDoesNotBlockMoves(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	slow, hot, idle := lease.Owner{ID: "slow"}, lease.Owner{ID: "hot"}, lease.Owner{ID: "idle"}
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(6, []lease.Owner{slow, hot, idle})}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), timing, clock.Now(), clock.Now()), 1)
	live := []lease.Owner{slow, hot, idle}
	for _, o := range live {
		l.grants.MarkConfirmed(o)
	}
	end := func(answers ...lease.Owner) {
		for _, o := range l.grants.DueOrders(clock.Now()) {
			for _, a := range answers {
				if o.Target.SameIncarnation(a) {
					l.grants.HandleResult(o, lease.Done, "", clock.Now(), clock.Now())
				}
			}
		}
	}
	end(slow, hot, idle)
	clock.advance(renewInterval)
	end(hot, idle)
	l.load.rates.Advance(clock.Now())
	for _, s := range l.grants.Record().Slices {
		switch s.Owner {
		case slow:
			l.load.rates.Add(s.From, 10)
			l.load.rates.Add(s.To, 10)
		case hot:
			l.load.rates.Add(s.From, 10)
		}
	}
	clock.advance(time.Second)
	l.load.rates.Advance(clock.Now())
	slices := len(l.grants.Record().Slices)
	moves := l.spreadLoad(live, clock.Now())
	require.Len(t, l.grants.Record().Slices, slices, "a slice was split while its renewal was in flight")
	require.NotEmpty(t, moves)
	for _, c := range moves {
		require.True(t, l.grants.Record().Slices[c.Slice].Owner.SameIncarnation(hot))
	}
}

// fixedDirectory is a directory of the targets of one service.
type fixedDirectory struct {
	emptyDirectory
	list []catalog.Target
}

func (d fixedDirectory) View() *catalog.View {
	return catalog.NewView(nil, catalog.Targets{Revision: 1, List: d.list}, catalog.Evacuations{})
}

// Guards against a fleet that overloads the owner of a hot key because the VMs' counts of its requests
// are seconds old.
func TestGrantorLimitsRequestsForHotKey(t *testing.T) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	owners := []lease.Owner{{ID: "a", Addr: "127.0.0.1:1"}, {ID: "b", Addr: "127.0.0.1:1"}}
	directory := fixedDirectory{}
	for _, o := range owners {
		directory.list = append(directory.list, catalog.Target{ID: o.ID, Addr: o.Addr, Service: "s", Slots: 1})
	}
	n.TargetDirectory = directory
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.EvenSlices(4, owners)}
	timing := lease.Timing{Hold: lease.HoldTime, Renew: renewInterval, Retry: orderRetryDelay}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), timing, clock.Now(), clock.Now()), 1)
	const hot, usual = 5, 60000
	limitsAtRate := func(rate int) *lease.Routing {
		for range 20 {
			clock.advance(spreadInterval)
			l.load.rates.Advance(clock.Now())
			l.load.rates.Add(hot, rate*int(spreadInterval)/int(time.Second))
			l.load.rates.Add(usual, 1)
		}
		l.updateLimits(clock.Now())
		return l.currentRouting(1, clock.Now())
	}
	limited := limitsAtRate(200)
	require.InDelta(t, 0.1, limited.LimitOf(hot).Fraction(), 0.04, "twice what the owner can handle, which is ten requests a second")
	require.Equal(t, lease.Unlimited, limited.LimitOf(usual))
	require.Equal(t, lease.Unlimited, limitsAtRate(10).LimitOf(hot), "the key is no longer hot")
}

// Guards against capacities of owners that are derived from reports of VMs which have not used them for long.
func TestSlownessFollowsTheLatestAnswers(t *testing.T) {
	v := newLoadView()
	report := func(slowness uint16, answers uint8) {
		v.add(KeyLoad{Targets: []uint32{1}, Slowness: []uint16{slowness}, Answers: []uint8{answers}})
	}
	require.InDelta(t, 1, v.slownessOf(1), 1e-9)
	for range 100 {
		report(300, 1)
	}
	require.InDelta(t, 3, v.slownessOf(1), 0.05)
	report(50, 100)
	require.InDelta(t, 0.5, v.slownessOf(1), 0.05)
	report(0, 255)
	require.Positive(t, v.slownessOf(1))
}

// Guards against a report from another VM whose lists differ in length, which ended the grantor's process.
func TestMalformedLoadOfKeysIsRecognized(t *testing.T) {
	require.True(t, (&KeyLoad{Keys: []uint16{1}, Requests: []uint16{2}, Targets: []uint32{1}, Slowness: []uint16{100}, Answers: []uint8{1}}).normalize())
	require.False(t, (&KeyLoad{Keys: []uint16{1}}).normalize())
	require.False(t, (&KeyLoad{Targets: []uint32{1, 2}, Slowness: []uint16{100, 100}, Answers: []uint8{1}}).normalize())
	require.False(t, (&KeyLoad{Targets: []uint32{1}, Slowness: []uint16{100, 100}, Answers: []uint8{1}}).normalize())
}

// Guards against a grantor that loses the counts of keys of VMs with an earlier version during an upgrade.
func TestLoadOfKeysOfAnEarlierVersionIsUsed(t *testing.T) {
	l := &KeyLoad{Keys: []uint16{1}, Requests: []uint16{2}, Targets: []uint32{1, 2}, Slowness: []uint16{100, 300}}
	require.True(t, l.normalize())
	require.Equal(t, []uint16{1}, l.Keys)
	require.Empty(t, l.Targets)
}
