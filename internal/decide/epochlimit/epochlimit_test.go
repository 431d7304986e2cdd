package epochlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a takeover that is delayed because the limit holds back the epoch that it
// needs. Keys waited 3 s for an owner when owner and grantor were lost a few seconds after
// an earlier loss.
func TestLossesInARowAreNotDelayed(t *testing.T) {
	p := New()
	p.Seen(1, time.Second)
	for n := range uint64(burst) {
		now := time.Second + time.Duration(n)*100*time.Millisecond
		require.True(t, p.Allow(now), "epoch %d", n+2)
		p.Seen(n+2, now)
	}
	require.False(t, p.Allow(2*time.Second))
}

// Guards against a store that is overloaded by writes of one service's record, so that other
// groups wait. Nine agents on VMs with little CPU time may claim a group again and again,
// each time with a new epoch; the number of epochs per minute must stay bounded.
func TestRepeatedClaimsWriteFewEpochs(t *testing.T) {
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
	require.Greater(t, written, 25, "epochs are still written at the allowed rate")
	require.True(t, p.Allow(time.Minute+refillInterval))
}
