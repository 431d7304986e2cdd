package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
)

// Guards against an unneeded succession because a call from before the outage times out after it.
func TestFailuresOfOlderStoreCallsAreIgnored(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	sent := clock.Now()
	g.recordStoreResult(sent, platform.ErrUnavailable)
	require.True(t, g.Heartbeat().StoreLost)
	clock.advance(time.Second)
	g.recordStoreResult(clock.Now(), nil)
	require.False(t, g.Heartbeat().StoreLost)
	g.recordStoreResult(sent, platform.ErrAmbiguous)
	require.False(t, g.Heartbeat().StoreLost, "the call is older than the latest response")
	g.recordStoreResult(clock.Now(), platform.ErrAmbiguous)
	require.True(t, g.Heartbeat().StoreLost)
	g.recordStoreResult(clock.Now(), platform.ErrGone)
	require.False(t, g.Heartbeat().StoreLost, "a store that has dropped its history is reachable")
	g.recordStoreResult(clock.Now(), errors.Join(platform.ErrAmbiguous, context.Canceled))
	require.False(t, g.Heartbeat().StoreLost, "a cancelled call says nothing about the store")
}
