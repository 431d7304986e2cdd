package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/freshness"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

func TestNewestAnnouncedConfigIsKnownBeforeItIsInForce(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	announce := func(version uint64) {
		g.receiveHeartbeat(mesh.Heartbeat{From: mesh.Member{VM: "vm", Addr: "127.0.0.1:1", Incarnation: 1}, ConfigVersion: version})
	}
	announce(5)
	clock.advance(time.Second)
	announce(4)
	announce(5)
	require.EqualValues(t, 5, g.state.announced.newest())
	require.Equal(t, time.Second, g.state.announced.age(5, clock.Now()))
	require.Zero(t, g.state.announced.age(6, clock.Now()), "it was not announced")
}

func TestPendingCallsAreListedByAge(t *testing.T) {
	p := newPendingCalls()
	watched, listed := p.add("watch", "config", time.Second), p.add("list", "targets", 2*time.Second)
	require.Equal(t, 3*time.Second, p.oldest(4*time.Second))
	calls := p.list(4 * time.Second)
	require.Len(t, calls, 2)
	require.Equal(t, "list", calls[1].Operation)
	require.EqualValues(t, 2000, calls[1].AgeMs)
	watched()
	listed()
	require.Zero(t, p.oldest(5*time.Second))
}

// Guards against 404 for a route that a later version has: callers do not repeat such a request.
func TestUnknownRouteIsNotDeniedWhileTheConfigurationMayBeOutdated(t *testing.T) {
	clock := newManualClock(time.Hour)
	g := newTestGateway(clock)
	defer g.mesh.Close()
	g.state.setConfig(&route.Config{Version: 4}, sourceStore)
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://new.example/", nil))
		return w
	}
	require.Equal(t, http.StatusServiceUnavailable, ask().Code, "no confirmation is known yet")
	g.confirmations.confirm("config", 1, 4, clock.Now())
	require.Equal(t, http.StatusNotFound, ask().Code)

	clock.advance(maxUnconfirmedAge + time.Millisecond)
	refused := ask()
	require.Equal(t, http.StatusServiceUnavailable, refused.Code, "no VM has confirmed the configuration")
	require.NotEmpty(t, refused.Header().Get("Retry-After"))

	from := mesh.Member{VM: "vm", Addr: "127.0.0.1:1", Incarnation: 1}
	heartbeat := mesh.Heartbeat{From: from, ConfigVersion: 4, ConfigMark: freshness.Mark{Count: 1, Version: 4}}
	g.receiveHeartbeat(heartbeat)
	require.Equal(t, http.StatusServiceUnavailable, ask().Code, "nothing tells when the heartbeat was sent")
	heartbeat.EchoMs = uint64((clock.Now() - maxUnconfirmedAge - 10*time.Millisecond).Milliseconds())
	g.receiveHeartbeat(heartbeat)
	require.Equal(t, http.StatusServiceUnavailable, ask().Code, "the heartbeat was late")
	heartbeat.EchoMs = uint64(clock.Now().Milliseconds())
	g.receiveHeartbeat(heartbeat)
	require.Equal(t, http.StatusNotFound, ask().Code)
	g.receiveHeartbeat(mesh.Heartbeat{From: from, ConfigVersion: 4, ConfigMark: freshness.Mark{Count: 2, Version: 5}})
	require.Equal(t, http.StatusServiceUnavailable, ask().Code, "another VM has read a later version")
}
