package epochlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Keys wait 3 s for an owner. Their owner and grantor are lost a few seconds after an
// earlier loss; the epoch that the takeover needs was held back as if it were one of
// a storm.
func TestLossesInARowWaitForNothing(t *testing.T) {
	p := New()
	p.Seen(1, time.Second)
	for n := range uint64(burst) {
		now := time.Second + time.Duration(n)*100*time.Millisecond
		require.True(t, p.Allow(now), "epoch %d", n+2)
		p.Seen(n+2, now)
	}
	require.False(t, p.Allow(2*time.Second))
}

// The store is full of writes of one service's record and other groups wait for
// theirs. Nine agents on starved machines claim a group over and over, each claim
// writing an epoch. Whatever they do, a minute holds a bounded number of epochs.
func TestClaimsWithoutEndWriteFewEpochs(t *testing.T) {
	p := New()
	p.Seen(1, time.Second)
	written := 0
	for now := time.Second; now < time.Minute; now += 15 * time.Millisecond {
		if p.Allow(now) {
			written++
			p.Seen(uint64(1+written), now)
		}
	}
	require.LessOrEqual(t, written, burst+30)
	require.Greater(t, written, 25, "the group is not given up either")
	require.True(t, p.Allow(time.Minute+refillInterval))
}
