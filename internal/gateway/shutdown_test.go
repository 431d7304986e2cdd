package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newLeavingTestbed returns a testbed with six seconds of grace that began to shut down the given
// time ago, and with one target that responds at once.
func newLeavingTestbed(t *testing.T, since time.Duration) *testbed {
	b := newTestbed(t)
	b.addTarget("a", "pool", succeed)
	b.grace.Store(int64(6 * time.Second))
	b.beginLeaving()
	b.clock.(*manualClock).advance(since)
	return b
}

// beginShutdownThen returns a handler that lets the VM be one that began to shut down the given
// time ago, and then runs handler.
func (b *testbed) beginShutdownThen(since time.Duration, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b.leavingSince.Store(int64(b.clock.Now() - since))
		b.leaving.Store(true)
		handler(w, r)
	}
}

// Guards against a request that gets no response because it runs longer than the VM that is
// shutting down.
func TestLeavingVMRefusesRequestThatMayOutlastIt(t *testing.T) {
	b := newLeavingTestbed(t, 3200*time.Millisecond)
	resp := b.send("patient.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.02)
	require.Zero(t, b.requests.Load(), "refused as not run")
}

// Guards against the refusal of requests that certainly end before the VM does.
func TestLeavingVMServesRequestThatEndsInTime(t *testing.T) {
	b := newLeavingTestbed(t, 3200*time.Millisecond)
	for _, c := range []struct {
		host   string
		header http.Header
	}{
		{"safe.example", nil},
		{"patient.example", http.Header{"Deadline": {"1500"}}},
	} {
		resp := b.send(c.host, c.header, "")
		require.Equal(t, http.StatusOK, resp.StatusCode, c.host)
		require.True(t, resp.Close, "the caller's next request goes elsewhere")
	}
}

// Guards against refusals by a VM that has no measurements of request durations yet.
func TestLeavingVMAcceptsRequestOfUnknownDuration(t *testing.T) {
	b := newLeavingTestbed(t, 2*time.Second)
	require.Equal(t, http.StatusOK, b.send("patient.example", nil, "").StatusCode)
}

// Guards against accepting requests that usually take longer than the VM has left.
func TestLeavingVMRefusesRequestThatUsuallyTakesLonger(t *testing.T) {
	b := newLeavingTestbed(t, 2*time.Second)
	for range 10 {
		b.state.recordDurationLocked("pool", "patient", 3*time.Second)
	}
	require.Equal(t, http.StatusServiceUnavailable, b.send("patient.example", nil, "").StatusCode)
	require.Zero(t, b.requests.Load())
	require.Equal(t, http.StatusOK, b.send("patient.example", http.Header{"Deadline": {"3000"}}, "").StatusCode)
}

// Guards against sending a refused booking again if the second attempt may outlast the VM.
func TestLeavingVMDoesNotRepeatRefusedRequestThatMayOutlastIt(t *testing.T) {
	b := newTestbed(t)
	b.grace.Store(int64(6 * time.Second))
	handler := firstThen(b.beginShutdownThen(3200*time.Millisecond, refuseAsNotRun), succeed)
	b.addTarget("a", "pool", handler)
	b.addTarget("b", "pool", handler)
	resp := b.send("patient.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.EqualValues(t, 1, b.requests.Load())
}

// Guards against reporting a lost response although another target could still run the request in
// time.
func TestLeavingVMRepeatsRequestThatMayHaveRun(t *testing.T) {
	b := newTestbed(t)
	b.grace.Store(int64(6 * time.Second))
	handler := firstThen(b.beginShutdownThen(3200*time.Millisecond, resetConnection), succeed)
	b.addTarget("a", "pool", handler)
	b.addTarget("b", "pool", handler)
	require.Equal(t, http.StatusOK, b.send("patient.example", nil, "").StatusCode)
	require.EqualValues(t, 2, b.requests.Load())
}

// Guards against a repeat so shortly before the VM ends that the caller gets no response at all.
func TestLeavingVMDoesNotRepeatRequestShortlyBeforeItsEnd(t *testing.T) {
	b := newTestbed(t)
	b.grace.Store(int64(6 * time.Second))
	fail := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "first")
		w.WriteHeader(http.StatusInternalServerError)
	}
	handler := firstThen(b.beginShutdownThen(5200*time.Millisecond, fail), succeed)
	b.addTarget("a", "pool", handler)
	b.addTarget("b", "pool", handler)
	resp := b.send("patient.example", nil, "")
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Equal(t, "first", resp.Header.Get("Stamp"), "the response of the target that ran the request")
	require.True(t, resp.Close)
	require.EqualValues(t, 1, b.requests.Load())
}

// pipelineRequests makes callers' connections run up to n requests at the same time.
func (b *testbed) pipelineRequests(n int) {
	b.settings.Pipeline = Pipeline{Requests: n, ReadAhead: defaultReadAhead}
}

// dialFront serves the gateway's HTTP server for callers and opens a connection to it.
func (b *testbed) dialFront() (net.Conn, *bufio.Reader) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	served := make(chan struct{})
	b.callers = b.newCallerListener(l)
	go func() {
		defer close(served)
		_ = b.front.Serve(b.callers)
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b.t, err)
	b.t.Cleanup(func() {
		conn.Close()
		b.front.Close()
		<-served
	})
	return conn, bufio.NewReader(conn)
}

// Guards against a request whose connection is closed without a response when the VM ends.
func TestRequestInFlightAtShutdownGetsResponse(t *testing.T) {
	b := newTestbed(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	b.addTarget("a", "pool", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	conn, reader := b.dialFront()
	_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: patient.example\r\nId: r-1\r\n\r\n")
	require.NoError(t, err)
	<-started
	b.beginLeaving()
	require.NoError(t, b.shutdownFront(context.Background(), 0))
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
	require.True(t, resp.Close)
	<-cancelled
}

// Guards against a connection that is closed in the middle of the request body when the VM ends.
func TestRequestWithPartialBodyAtShutdownIsRefused(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("a", "pool", succeed)
	conn, reader := b.dialFront()
	_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: patient.example\r\nId: r-1\r\nContent-Length: 20\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(reader, nil)
	require.NoError(t, err, "the body is being read")
	_, err = io.WriteString(conn, "half")
	require.NoError(t, err)
	b.beginLeaving()
	require.NoError(t, b.shutdownFront(context.Background(), 0))
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, b.requests.Load())
}
