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

// Guards against requests that are sent to owners, or wait, while no lease can be alive.
func TestKeyedRequestsAreRejectedAtOnceWhileAllLeasesHaveExpired(t *testing.T) {
	b := newBench(t)
	clock := b.clock.(*handClock)
	b.target("k", "keyed", misdirects)
	b.state.own("keyed", 1, 1, "k", lease.Served)
	clock.advance(lease.HoldTime + time.Millisecond)
	for range 10 {
		begin := time.Now()
		resp := b.get("keyed.example", http.Header{"Key": {"7"}}, "")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 0.5, "a succession takes longer than a request")
		require.Less(t, time.Since(begin), movingWait)
	}
	require.EqualValues(t, 1, b.hits.Load())

	clock.advance(expiredProbe)
	b.get("keyed.example", http.Header{"Key": {"7"}}, "")
	require.EqualValues(t, 2, b.hits.Load(), "one request finds out whether they are served again")
}

// Guards against a VM that rejects what the owners serve: it alone does not reach the grantor.
func TestLeasesAreNotExpiredWhileTheGrantorLivesOrOwnersServe(t *testing.T) {
	clock := newHandClock(time.Hour)
	g := testGateway(clock)
	defer g.mesh.Close()
	g.state.own("s", 1, 1, "t", lease.Served)
	r := g.state.leases.Get("s")
	r.Holder, r.Incarnation = "holder", 5
	clock.advance(lease.HoldTime + time.Millisecond)
	require.Empty(t, g.expired("s", clock.Now()), "no target has refused a key")
	g.state.noteMisdirected("s")
	require.NotEmpty(t, g.expired("s", clock.Now()))
	g.receive(mesh.Heartbeat{From: mesh.Member{VM: "holder", Addr: "127.0.0.1:1", Incarnation: 5}})
	require.Empty(t, g.expired("s", clock.Now()))
}
