package pipeline

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// boundedLimits have memory for some connections, and for some requests beside them.
func boundedLimits(connections, requests int64) Limits {
	limits := testLimits
	limits.RequestMemory = 40 << 10
	limits.Memory = connections*connMemory + requests*limits.RequestMemory
	return limits
}

// all returns the connections.
func (o *occupancy) all() (out []*conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.conns))
}

// requireReleased checks that no memory is counted when all connections have ended.
func (s *testServer) requireReleased(callers ...*testCaller) {
	s.t.Helper()
	for _, c := range callers {
		require.NoError(s.t, c.conn.Close())
	}
	require.Eventually(s.t, func() bool {
		return s.listener.occupancy.bytes() == 0 && s.listener.occupancy.connections() == 0
	}, testTimeout, time.Millisecond)
}

// awaitAnswered waits until no memory is counted for requests.
func (s *testServer) awaitAnswered() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		return s.listener.occupancy.bytes() == s.listener.occupancy.connections()*connMemory
	}, testTimeout, time.Millisecond)
}

// Guards against more connections than the process has memory for: the one that has been idle for longest makes room.
func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	s := newTestServer(t, boundedLimits(4, 1))
	var callers []*testCaller
	use := func(c *testCaller) {
		c.get("/now/1")
		c.requireResponses("/now/1")
		s.awaitAnswered()
	}
	for range 3 {
		callers = append(callers, s.dial())
		use(callers[len(callers)-1])
	}
	use(callers[0])
	for s.count("evicted") == 0 {
		callers = append(callers, s.dial())
		use(callers[len(callers)-1])
	}
	callers[1].requireEnd()
	use(callers[0])
	require.LessOrEqual(t, s.listener.occupancy.bytes(), s.listener.limits.Memory)
	s.requireReleased(callers...)
}

// Guards against requests that run without memory, and against a refusal that does not arrive or is not true.
func TestRequestWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	for framing, parts := range bodyRequests("/refused") {
		t.Run(framing, func(t *testing.T) {
			s := newTestServer(t, boundedLimits(4, 2))
			running := []*testCaller{s.dial(), s.dial()}
			for i, path := range []string{"/1", "/2"} {
				running[i].get(path)
				s.requireStarted(path)
			}
			c := s.dial()
			c.send(parts[0])
			resp, _ := c.receive()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.True(t, resp.Close)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			c.requireEnd()
			require.Empty(t, s.started)
			s.release("/1", "/2")
			running[0].requireResponses("/1")
			running[1].requireResponses("/2")
			require.NoError(t, c.conn.Close())
			s.awaitAnswered()
			other := s.dial()
			other.get("/now/3")
			other.requireResponses("/now/3")
			require.EqualValues(t, 1, s.count("refused"))
			s.requireReleased(append(running, other)...)
		})
	}
}

// Guards against pipelined requests that take the memory of the first requests of other connections.
func TestPipelinedRequestsLeaveMemoryForOtherConnections(t *testing.T) {
	s := newTestServer(t, boundedLimits(4, 4))
	c := s.dial()
	c.get("/1", "/2", "/3", "/4")
	s.requireStarted("/1", "/2")
	s.awaitCount("waited", 1)
	require.Empty(t, s.started)
	other := s.dial()
	other.get("/now/5")
	other.requireResponses("/now/5")
	s.requireStarted("/now/5")
	s.release("/1", "/2", "/3", "/4")
	c.requireResponses("/1", "/2", "/3", "/4")
	s.requireReleased(c, other)
}

// Guards against a body that loses a part because there is no memory for what was read of it ahead.
func TestBodyIsWholeWithoutMemoryToReadAhead(t *testing.T) {
	limits := boundedLimits(1, 1)
	limits.Memory += unreadMemory
	s := newTestServer(t, limits)
	raw, other := net.Pipe()
	defer other.Close()
	c := newConn(s.listener, raw)
	require.True(t, s.listener.occupancy.add(c))
	body := strings.Repeat("body", laneBuffer/2)
	started, _ := c.receive(fmt.Appendf(nil, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)), 0, nil)
	require.Len(t, started, 1)
	for rest := body; len(rest) > 0; {
		n := min(len(rest), bodyReadSize)
		_, ended := c.receive([]byte(rest[:n]), 0, nil)
		require.False(t, ended)
		rest = rest[n:]
	}
	var got []byte
	for buffer := make([]byte, 1000); !strings.HasSuffix(string(got), body); {
		n, err := started[0].Read(buffer)
		require.NoError(t, err)
		got = append(got, buffer[:n]...)
	}
	require.Zero(t, s.count("refused"))
	c.mu.Lock()
	c.closeLocked()
	c.mu.Unlock()
	_ = started[0].Close()
	s.requireReleased()
}

// Guards against idle connections of any kind that outlast the idle timeout.
func TestIdleTimeoutHoldsForEveryConnection(t *testing.T) {
	for name, use := range map[string]func(c *testCaller){
		"unused":    func(*testCaller) {},
		"one":       func(c *testCaller) { c.get("/now/1"); c.requireResponses("/now/1") },
		"pipelined": func(c *testCaller) { c.get("/now/1", "/now/2"); c.requireResponses("/now/1", "/now/2") },
		"chunked": func(c *testCaller) {
			c.send("POST /now/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
			c.requireResponses("/now/1")
		},
		"HTTP/1.0": func(c *testCaller) {
			c.send("GET /now/1 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n")
			c.requireResponses("/now/1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits, idle := testLimits, newTestIdleTimeout()
			limits.IdleTimeout = idle.get
			s := newTestServer(t, limits)
			c := s.dial()
			use(c)
			idle.shorten(t)
			c.requireEnd()
			s.awaitCount("expired", 1)
			s.requireReleased(c)
		})
	}
}

// Guards against more connections than the process has descriptors for.
func TestNumberOfConnectionsIsBounded(t *testing.T) {
	limits := testLimits
	limits.Connections = 2
	s := newTestServer(t, limits)
	running := s.dial()
	running.get("/1")
	s.requireStarted("/1")
	idle := s.dial()
	idle.get("/now/2")
	idle.requireResponses("/now/2")
	s.requireStarted("/now/2")
	require.Eventually(t, func() bool {
		s.listener.occupancy.mu.Lock()
		defer s.listener.occupancy.mu.Unlock()
		return s.listener.occupancy.idle.Len() == 1
	}, testTimeout, time.Millisecond)
	second := s.dial()
	second.get("/3")
	s.requireStarted("/3")
	idle.requireEnd()
	rejected := s.dial()
	rejected.requireEnd()
	require.EqualValues(t, 1, s.count("rejected"))
	s.release("/1", "/3")
	running.requireResponses("/1")
	second.requireResponses("/3")
	s.requireReleased(running, idle, second, rejected)
}

// Guards against a request that runs although its connection was closed as an idle one while it was being read.
func TestRequestThatIsReadAsItsConnectionIsClosedDoesNotRun(t *testing.T) {
	s := newTestServer(t, boundedLimits(4, 1))
	raw, other := net.Pipe()
	defer other.Close()
	c := newConn(s.listener, raw)
	require.True(t, s.listener.occupancy.add(c))
	require.True(t, c.closeIfIdle())
	started, ended := c.receive([]byte("GET /now/1 HTTP/1.1\r\nHost: a\r\n\r\n"), 0, nil)
	require.Empty(t, started)
	require.True(t, ended)
	s.requireReleased()
}
