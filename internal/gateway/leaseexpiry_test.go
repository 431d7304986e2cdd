package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// Guards against requests that wait or are sent to owners although all leases must have expired.
func TestKeyedRequestsAreRefusedAtOnceIfLeasesHaveExpired(t *testing.T) {
	b := newTestbed(t)
	clock := b.clock.(*manualClock)
	b.addTarget("k", "keyed", misdirect)
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	clock.advance(lease.HoldTime + time.Millisecond)
	for range 10 {
		begin := time.Now()
		resp := b.send("keyed.example", http.Header{"Key": {"7"}}, "")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 0.5, "a succession takes longer than a request")
		require.Less(t, time.Since(begin), maxMoveWait)
	}
	require.EqualValues(t, 1, b.requests.Load())

	clock.advance(misdirectedRetention)
	b.send("keyed.example", http.Header{"Key": {"7"}}, "")
	require.EqualValues(t, 2, b.requests.Load(), "one request is sent as a probe")
}

// Guards against a VM that refuses requests which the owners would serve, because only this VM
// does not reach the grantor.
func TestLeasesDoNotExpireWhileGrantorLivesOrOwnersServe(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	g.state.setOwner("s", 1, 1, "t", lease.Served)
	r := g.state.leases.Get("s")
	r.Holder, r.Incarnation = "holder", 5
	clock.advance(lease.HoldTime + time.Millisecond)
	require.Empty(t, g.leasesExpired("s", clock.Now()), "no target has refused a key")
	g.state.recordMisdirected("s")
	require.NotEmpty(t, g.leasesExpired("s", clock.Now()))
	g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}})
	require.Empty(t, g.leasesExpired("s", clock.Now()))
}
