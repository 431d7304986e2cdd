package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorstLagIsForgottenAfterTwoWindows(t *testing.T) {
	var m lagMeter
	m.observe(300*time.Millisecond, 10*time.Second)
	m.observe(20*time.Millisecond, 10*time.Second+lagWindow/2)
	require.Equal(t, 300*time.Millisecond, m.worst(10*time.Second+lagWindow))
	m.observe(40*time.Millisecond, 10*time.Second+lagWindow)
	require.Equal(t, 40*time.Millisecond, m.worst(10*time.Second+2*lagWindow))
	require.Zero(t, m.worst(20*time.Second))
}

// Guards against a log line each second from every VM of a large fleet, whose heartbeats are seconds apart.
func TestVMsOfALargeFleetAreHeardLately(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newPlay(t, 82)
		defer p.stop()
		time.Sleep(10 * time.Second)
		heard, known := p.vms[40].recentPeers()
		require.Equal(t, 81, known)
		require.Equal(t, known, heard)
	})
}
