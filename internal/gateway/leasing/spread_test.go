package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
)

// Callers of busy keys waited behind other busy keys of the same owner while a third one
// had nothing to do. Another owner was slow to answer a renewal of its hot slice, which
// cannot be divided meanwhile; the grantor tried that again at each look and moved nothing.
func TestSliceThatCannotBeDividedNowHoldsNoMoveBack(t *testing.T) {
	clock := newHandClock(time.Hour)
	n := testNode(clock)
	defer n.mesh.Close()
	slow, hot, idle := lease.Owner{ID: "slow"}, lease.Owner{ID: "hot"}, lease.Owner{ID: "idle"}
	record := lease.Record{Service: "s", Epoch: 1, Slices: lease.Even(6, []lease.Owner{slow, hot, idle})}
	timing := lease.Timing{Hold: holdTime, Renew: renewEvery, Retry: orderRetry}
	l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(record, timing, clock.Now(), clock.Now(), lease.NoPriorGrants), 1)
	live := []lease.Owner{slow, hot, idle}
	for _, o := range live {
		l.grants.LifeConfirmed(o)
	}
	end := func(answers ...lease.Owner) {
		for _, o := range l.grants.Due(clock.Now()) {
			for _, a := range answers {
				if o.Target.Same(a) {
					l.grants.Ended(o, lease.Done, "", clock.Now(), clock.Now())
				}
			}
		}
	}
	end(slow, hot, idle)
	clock.advance(renewEvery)
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
	moves := l.spread(live, clock.Now())
	require.Len(t, l.grants.Record().Slices, slices, "its renewal is on its way")
	require.NotEmpty(t, moves)
	for _, c := range moves {
		require.True(t, l.grants.Record().Slices[c.Slice].Owner.Same(hot))
	}
}
