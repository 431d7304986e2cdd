package epochpace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFirstEpochAfterQuietWaitsForNothing(t *testing.T) {
	var p Pace
	require.True(t, p.May(0))
	p.Seen(1, time.Second)
	require.True(t, p.May(time.Second))
	p.Seen(2, time.Minute)
	require.True(t, p.May(time.Minute))
}

// The store is full of writes of one service's record and other groups wait for
// theirs. Nine agents on starved machines claim a group over and over, each claim
// writing an epoch. Whatever they do, a minute holds a bounded number of epochs.
func TestClaimsWithoutEndWriteFewEpochs(t *testing.T) {
	var p Pace
	p.Seen(1, time.Second)
	written := 0
	for now := time.Second; now < time.Minute; now += 15 * time.Millisecond {
		if p.May(now) {
			written++
			p.Seen(uint64(1+written), now)
		}
	}
	require.Less(t, written, 30)
	require.Greater(t, written, 15, "the group is not given up either")
	require.True(t, p.May(time.Minute+quiet))
}
