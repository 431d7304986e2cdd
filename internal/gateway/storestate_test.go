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
	n := newTestGateway(clock)
	defer n.mesh.Close()
	sent := clock.Now()
	n.recordStoreResult(sent, platform.ErrUnavailable)
	require.True(t, n.Heartbeat().StoreLost)
	clock.advance(time.Second)
	n.recordStoreResult(clock.Now(), nil)
	require.False(t, n.Heartbeat().StoreLost)
	n.recordStoreResult(sent, platform.ErrAmbiguous)
	require.False(t, n.Heartbeat().StoreLost, "the call is older than the latest answer")
	n.recordStoreResult(clock.Now(), platform.ErrAmbiguous)
	require.True(t, n.Heartbeat().StoreLost)
	n.recordStoreResult(clock.Now(), platform.ErrGone)
	require.False(t, n.Heartbeat().StoreLost, "a store that has dropped its history answers")
	n.recordStoreResult(clock.Now(), errors.Join(platform.ErrAmbiguous, context.Canceled))
	require.False(t, n.Heartbeat().StoreLost, "a call that was given up says nothing")
}
