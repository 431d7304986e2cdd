package leasing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
)

// surgedLeader returns the grantor of 32 owners of two slots, after 75 adjacent keys have suddenly got 300 requests a second.
func surgedLeader(t *testing.T, s Spread) (*leader, []lease.Owner, *manualClock) {
	clock := newManualClock(time.Hour)
	n := testNode(clock)
	t.Cleanup(n.mesh.Close)
	n.Spread = s.orDefault()
	var live []lease.Owner
	directory := fixedDirectory{}
	for i := range 32 {
		o := lease.Owner{ID: fmt.Sprint("t", i), Addr: "127.0.0.1:1"}
		live = append(live, o)
		directory.list = append(directory.list, catalog.Target{ID: o.ID, Addr: o.Addr, Service: "s", Slots: 2})
	}
	n.TargetDirectory = directory
	l := loadedLeader(n, clock, live, 64)
	l.load.rates.Surges = s.Surges
	for range 2 {
		clock.advance(loadQueryInterval)
		l.load.rates.Advance(clock.Now())
		for key := range uint16(75) {
			l.load.rates.Add(1000+key, 1)
		}
	}
	return l, live, clock
}

// Guards against a hot range that is divided in one step after the other while its owner is overrun.
func TestSurgeIsDividedAndMovedInOneDecision(t *testing.T) {
	l, live, clock := surgedLeader(t, Spread{Moves: 48, Surges: true})
	moves := l.spreadLoad(live, clock.Now())
	require.Greater(t, len(l.grants.Record().Slices), 64+8)
	require.Greater(t, len(moves), DefaultMoves)
	owners := make(map[string]bool)
	for _, m := range moves {
		owners[m.To.ID] = true
	}
	require.Greater(t, len(owners), 8, "the parts of the range get different owners")
}

// Guards against decisions that change for deployments which do not ask for it.
func TestWithoutSurgesOneDivisionIsMadeAtATime(t *testing.T) {
	l, live, clock := surgedLeader(t, Spread{})
	require.Empty(t, l.spreadLoad(live, clock.Now()))
	require.LessOrEqual(t, len(l.grants.Record().Slices), 64+DefaultMoves)
}

// Guards against a service whose ranges are divided without end.
func TestDivisionsEndAtTheLimitOfRanges(t *testing.T) {
	l, live, clock := surgedLeader(t, Spread{Moves: 48, Ranges: 70, Surges: true})
	l.spreadLoad(live, clock.Now())
	require.LessOrEqual(t, len(l.grants.Record().Slices), 70)
}

// Guards against owners that get twice the keys of others at first.
func TestOwnersGetEqualNumbersOfSlicesAtFirst(t *testing.T) {
	even := Spread{Surges: true}.orDefault()
	for owners, slices := range map[int]int{1: 16, 10: 160, 114: 456, 167: 501, 304: 608, 512: 512, 1126: 1126} {
		require.Equal(t, slices, even.initialSlices(owners))
		require.Equal(t, initialSlices(owners), Spread{}.orDefault().initialSlices(owners))
	}
}
