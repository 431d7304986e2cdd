package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// A free slot of a target that is not slow is always used, no slot gets two requests, and
// a target in back-off is never chosen, nor one that was just tried if another is free.
func TestChoiceUsesFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := make([]*Target, rapid.IntRange(1, 6).Draw(t, "targets"))
		for i := range targets {
			targets[i] = &Target{Limit: rapid.IntRange(1, 3).Draw(t, "limit"), Hint: rapid.IntRange(0, 9).Draw(t, "hint")}
			targets[i].InFlight = rapid.IntRange(0, targets[i].Limit).Draw(t, "inFlight")
			if rapid.Bool().Draw(t, "in back-off") {
				targets[i].Failed(start)
			}
		}
		avoid := rapid.IntRange(-1, len(targets)-1).Draw(t, "avoid")
		got := Choose(targets, Choice{Now: start, Avoid: avoid, Service: time.Millisecond})
		least := -1
		for i, x := range targets {
			if i != avoid && x.hasFreeSlot(start) && (least < 0 || x.InFlight < targets[least].InFlight) {
				least = i
			}
		}
		if least >= 0 {
			require.GreaterOrEqual(t, got, 0)
			require.NotEqual(t, avoid, got)
			require.True(t, targets[got].hasFreeSlot(start))
			require.Equal(t, targets[least].InFlight, targets[got].InFlight)
			return
		}
		if got >= 0 {
			require.Equal(t, avoid, got)
		}
	})
}

// One long request among short ones must not make its target count as slow.
func TestOneLongRequestIsNotSlowness(t *testing.T) {
	x := &Target{Limit: 2}
	for range 10 {
		x.Answered(5*time.Millisecond, 8*time.Millisecond)
	}
	x.Answered(800*time.Millisecond, 8*time.Millisecond)
	require.False(t, x.Slow())
}

func TestBackoffAfterFailureIsBounded(t *testing.T) {
	x := &Target{Limit: 2}
	now := start
	for range 20 {
		now = now.Add(x.Failed(now))
		require.True(t, x.Serves(now))
		require.False(t, x.Serves(now.Add(-time.Nanosecond)))
	}
	require.Equal(t, maxBackoff, x.Failed(now))
	x.Answered(time.Millisecond, time.Millisecond)
	require.Equal(t, minBackoff, x.Failed(now))
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	targets := []*Target{{Limit: 2}, {Limit: 2, InFlight: 1}, {Limit: 2, InFlight: 1}}
	c := Choice{Now: start, Avoid: -1}
	require.Equal(t, 0, Choose(targets, c))
	targets[0].RefusedLeaving(start)
	require.Equal(t, 1, Choose(targets, c))
	targets[1].HintLeaving = true
	require.Equal(t, 2, Choose(targets, c))
	targets[2].InFlight = 2
	require.Equal(t, -1, Choose(targets, c))
}

// Guards against free slots left unused when the only owner of some keys, or every target
// of a pool, becomes slow, so that there is nothing better to wait for. A benchmark hung
// because of this: only one request per second was sent, as a probe.
func TestSlowTargetsServeIfNoneIsBetter(t *testing.T) {
	slow := func() *Target {
		x := &Target{Limit: 2, InFlight: 1, lastProbe: start}
		for range 10 {
			x.Answered(80*time.Millisecond, 8*time.Millisecond)
		}
		require.True(t, x.Slow())
		return x
	}
	c := Choice{Now: start, Avoid: -1, Service: 8 * time.Millisecond}
	require.Equal(t, 0, Choose([]*Target{slow()}, c))
	require.GreaterOrEqual(t, Choose([]*Target{slow(), slow()}, c), 0)
	backingOff := &Target{Limit: 2}
	backingOff.Failed(start)
	require.Equal(t, 0, Choose([]*Target{slow(), backingOff}, c))
	require.Equal(t, -1, Choose([]*Target{slow(), {Limit: 1, InFlight: 1}}, c))
}
