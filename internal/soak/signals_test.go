package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/fleet"
)

// Guards against schedules that leave out a signal, the store, faults of VMs, or signals of several targets at once.
func TestGeneratedSignalsOverlapEachOtherAndOtherFaults(t *testing.T) {
	kinds, overlaps := make(map[Kind]int), 0
	for seed := range uint64(50) {
		s := GenerateSignals(seed, 20*time.Second)
		require.Equal(t, s, GenerateSignals(seed, 20*time.Second))
		require.NoError(t, s.Check())
		var end time.Duration
		for _, f := range s.Faults {
			kinds[f.Kind]++
			if f.Kind == AnnounceLeaving || f.Kind == RefuseRequests {
				if f.At.D() < end {
					overlaps++
				}
				end = max(end, f.At.D()+f.Duration.D())
			}
		}
	}
	for _, kind := range []Kind{AnnounceLeaving, RefuseRequests, SendEndlessly, StoreAway, Kill, Suspend, Terminate} {
		require.Greater(t, kinds[kind], 20, kind)
	}
	require.Greater(t, overlaps, 100)
}

// Guards against checks that never find a request which a target did not want.
func TestRequestsThatTargetsDoNotWantAreFound(t *testing.T) {
	now := time.Now()
	check := NewChecker(func() time.Time { return now })
	w := &site{check: check, signals: map[string]*signalWatch{"k-1": newSignalWatch(), "k-2": newSignalWatch()}}
	from := limitSource("vm-1")
	w.observe("k-1", fleet.Exchange{From: from, Arrived: now, Leaving: true})
	check.RequestSent("early", false)
	w.observe("k-1", fleet.Exchange{ID: "early", From: from, Arrived: now.Add(time.Minute), Leaving: true})
	require.Empty(t, check.Violations(), "its caller sent it in time")
	now = now.Add(leavingBound + 10*time.Second)
	check.RequestSent("late", false)
	w.observe("k-1", fleet.Exchange{ID: "late", From: limitSource("vm-2"), Arrived: now, Leaving: true})
	require.Empty(t, check.Violations(), "another VM was not told")
	w.observe("k-1", fleet.Exchange{ID: "late", From: from, Arrived: now, Leaving: true})
	require.Len(t, check.Violations(), 1)

	w.signals["k-1"] = &signalWatch{born: 2, leavingSince: make(map[string]time.Time)}
	w.observe("k-1", fleet.Exchange{From: from, Born: 1, Arrived: now, Leaving: true})
	now = now.Add(time.Minute)
	check.RequestSent("later", false)
	w.observe("k-1", fleet.Exchange{ID: "later", From: from, Born: 2, Arrived: now})
	require.Len(t, check.Violations(), 1, "the last incarnation said it")

	begin := time.Now()
	w.observe("k-2", fleet.Exchange{From: from, Arrived: begin, Rest: 3 * time.Second})
	for range restAllowed {
		w.observe("k-2", fleet.Exchange{From: from, Arrived: begin.Add(time.Second)})
	}
	w.observe("k-2", fleet.Exchange{From: from, Arrived: begin.Add(100 * time.Millisecond)})
	w.observe("k-2", fleet.Exchange{From: from, Arrived: begin.Add(4 * time.Second)})
	require.Len(t, check.Violations(), 1)
	w.observe("k-2", fleet.Exchange{From: from, Arrived: begin.Add(2 * time.Second)})
	require.Len(t, check.Violations(), 2)
}
