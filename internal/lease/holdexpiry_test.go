package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowestExpiry is when a grant that arrived at a time is out at the target with the slowest clock.
func slowestExpiry(arrived time.Duration) time.Duration {
	return arrived + time.Duration(float64(simTiming.Hold)*(1+MaxClockDrift))
}

// runUntilGranted plays a grantor whose orders to a target do not get a connection, and returns
// when another target is granted the first keys.
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
	require.Fail(t, "the keys have no owner")
	return 0
}

// grantorWithPendingRenewal returns a grantor of one slice whose owner's first renewal is in flight, and
// when it was sent.
func grantorWithPendingRenewal(t *testing.T, owner Owner) (g *Grantor, renewal Order, now time.Duration) {
	now = time.Hour
	g = NewGrantor(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{owner})}, simTiming, now, now, NoPriorGrants)
	g.MarkConfirmed(owner)
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Done, "", now, now)
	}
	now += simTiming.Renew
	renewals := g.DueOrders(now)
	require.Len(t, renewals, 1)
	return g, renewals[0], now
}

// A grantor loses the store and its peers, and its successor does not reach an owner. The
// last grant of the first one leaves right before its authority ends, into a cut or from a
// process that is stopped after the send: it may still arrive until its connection ends.
// The successor must not count the owner's hold from the end of the authority.
func TestSuccessorWaitsForPredecessorsGrantInTransit(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	record := Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})}
	first := NewGrantor(record, simTiming, time.Hour, time.Hour, NoPriorGrants)
	first.MarkConfirmed(a)
	sent := time.Hour + Authority - time.Millisecond
	require.Len(t, first.DueOrders(sent), 1)

	record.Epoch++
	next := NewGrantor(record, simTiming, time.Hour, time.Hour, PriorGrantsUnknown)
	next.Commit(next.Plan([]Change{{Slice: 0, To: b}}), time.Hour)
	granted := runUntilGranted(t, next, time.Hour, a, b)
	require.GreaterOrEqual(t, granted, slowestExpiry(sent+simOrderTimeout), "given up")
	require.GreaterOrEqual(t, granted, slowestExpiry(sent+simRetransmitTimeout), "dropped by the system")
}

// A renewal waits for its turn while its slice is divided, for longer than any bound: the
// target is slow, or the VM stands still. It reaches the owner then; the grants of the
// parts do not. The end of the renewal must date the hold of the parts.
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
	g.Commit(g.Plan([]Change{{Slice: 0, To: b}}), now)
	require.GreaterOrEqual(t, runUntilGranted(t, g, arrived, a, b), slowestExpiry(arrived))
}
