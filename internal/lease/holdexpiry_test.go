package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowestExpiry returns when a grant that arrived at a time expires at a target with the slowest clock.
func slowestExpiry(arrived time.Duration) time.Duration {
	return arrived + time.Duration(float64(simTiming.Hold)*(1+MaxClockDrift))
}

// runUntilGranted runs a grantor whose orders to the silent target get no connection, and returns when
// the other target is granted the first keys.
func runUntilGranted(t *testing.T, g *Grantor, now time.Duration, silent, other Owner) time.Duration {
	g.MarkConfirmed(other)
	for end := now + time.Minute; now < end; now += 10 * time.Millisecond {
		g.ConfirmEpoch(now)
		for _, o := range g.DueOrders(now) {
			if o.Kind == Grant && o.Target.SameIncarnation(other) && o.From == 0 {
				return now
			}
			if o.Target.SameIncarnation(silent) {
				g.HandleResult(o, Unreached, "", now, now)
			}
		}
	}
	require.Fail(t, "the keys were not granted within a minute")
	return 0
}

// grantorWithPendingRenewal returns a grantor of one slice whose owner's first renewal is in flight, and
// when that renewal was sent.
func grantorWithPendingRenewal(t *testing.T, owner Owner) (g *Grantor, renewal Order, now time.Duration) {
	now = time.Hour
	g = NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{owner})}), simTiming, now, now)
	g.MarkConfirmed(owner)
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Done, "", now, now)
	}
	now += simTiming.Renew
	renewals := g.DueOrders(now)
	require.Len(t, renewals, 1)
	return g, renewals[0], now
}

// Guards against a successor that counts the owner's hold from the end of its predecessor's authority. A
// grantor loses the store and its peers, and its successor cannot reach an owner. The predecessor sends its
// last grant right before its authority ends, into a network cut or from a process that is suspended after
// the send. The grant may still arrive until its connection ends.
func TestSuccessorWaitsForPredecessorsGrantInTransit(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	record := Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})}
	first := NewGrantor(firstEpoch(record), simTiming, time.Hour, time.Hour)
	first.MarkConfirmed(a)
	sent := time.Hour + Authority - time.Millisecond
	require.Len(t, first.DueOrders(sent), 1)

	record.Epoch++
	next := NewGrantor(record, simTiming, time.Hour, time.Hour)
	next.Commit(next.Plan(time.Hour, []Change{{Slice: 0, To: b}}), time.Hour)
	granted := runUntilGranted(t, next, time.Hour, a, b)
	require.GreaterOrEqual(t, granted, slowestExpiry(sent+simOrderTimeout), "the order timed out")
	require.GreaterOrEqual(t, granted, slowestExpiry(sent+simRetransmitTimeout), "dropped by the operating system")
}

// Guards against a hold that is counted too short when a slice is to be split while a renewal is in flight.
// The renewal is delayed for longer than any bound, because the target is slow or the VM is suspended. It
// still reaches the owner, and grants sent after the split do not. The hold must count from the end of the
// renewal.
func TestRenewalDuringSplitExtendsHoldOfParts(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g, renewal, now := grantorWithPendingRenewal(t, a)
	g.SplitSlice(0, keySpace/2-1)

	now += 7 * time.Second
	g.ConfirmEpoch(now)
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Unreached, "", now, now)
	}
	g.HandleResult(renewal, Unanswered, "", now, now+simOrderTimeout)
	arrived := now + simOrderTimeout
	g.Commit(g.Plan(now, []Change{{Slice: 0, To: b}}), now)
	require.GreaterOrEqual(t, runUntilGranted(t, g, arrived, a, b), slowestExpiry(arrived))
}

// Guards against a slice that is divided many times at once, and whose parts count as lost until they are granted again.
func TestSlicesThatAreSplitManyTimesStayServed(t *testing.T) {
	a := Owner{ID: "a"}
	g, renewal, now := grantorWithPendingRenewal(t, a)
	g.HandleResult(renewal, Done, "", now, now)
	for after := uint16(keySpace / 2); after > 0; after /= 2 {
		require.True(t, g.SplitSlice(0, after-1))
	}
	for i := range g.Record().Slices {
		require.Equal(t, Served, g.State(i, now))
	}
	require.Len(t, g.DueOrders(now), len(g.Record().Slices), "each part is granted at once")
}
