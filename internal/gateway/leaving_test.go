package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopping is a gateway that was asked to stop so long ago, with six seconds of grace, and one
// target that answers at once.
func stopping(t *testing.T, since time.Duration) *bench {
	b := newBench(t)
	b.target("a", "pool", works)
	b.grace.Store(int64(6 * time.Second))
	b.beginLeaving()
	b.clock.(*handClock).advance(since)
	return b
}

// A VM is asked to stop. A caller that keeps its connection sends a search 3.2 s later, which
// may take four seconds; the VM passes it on, and ends 2.3 s later, while the target still
// works on it. The caller gets no answer. It must be refused as not run, at once, on a
// connection that is closed, so that another VM serves it.
func TestStoppingVMRefusesWhatMayNotEnd(t *testing.T) {
	b := stopping(t, 3200*time.Millisecond)
	resp := b.get("patient.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.LessOrEqual(t, after, 0.02)
	require.Zero(t, b.hits.Load(), "refused as not run")
}

// The other side: what ends in time is served to the last, by the timeout of its route or by
// the patience of its caller.
func TestStoppingVMServesWhatEndsInTime(t *testing.T) {
	b := stopping(t, 3200*time.Millisecond)
	for _, c := range []struct {
		host   string
		header http.Header
	}{
		{"safe.example", nil},
		{"patient.example", http.Header{"Deadline": {"1500"}}},
	} {
		resp := b.get(c.host, c.header, "")
		require.Equal(t, http.StatusOK, resp.StatusCode, c.host)
		require.True(t, resp.Close, "the caller's next request goes elsewhere")
	}
}

// A VM that has just started is asked to stop, and knows nothing yet of what requests take. The
// balancer still sends it its whole share, most of which ends in time: it is served.
func TestStoppingVMRefusesNothingByAGuess(t *testing.T) {
	b := stopping(t, 2*time.Second)
	require.Equal(t, http.StatusOK, b.get("patient.example", nil, "").StatusCode)
}

// Searches take three seconds at a service. A VM with 3.5 seconds left refuses them though the
// balancer still sends it new connections; what its caller gives up earlier it takes.
func TestStoppingVMRefusesWhatUsuallyTakesLonger(t *testing.T) {
	b := stopping(t, 2*time.Second)
	for range 10 {
		b.state.learnLocked("pool", "patient", 3*time.Second)
	}
	require.Equal(t, http.StatusServiceUnavailable, b.get("patient.example", nil, "").StatusCode)
	require.Zero(t, b.hits.Load())
	require.Equal(t, http.StatusOK, b.get("patient.example", http.Header{"Deadline": {"3000"}}, "").StatusCode)
}

// A target refused a booking that a VM which leaves had passed on, and may take it a moment
// later. The VM may not stay that long: it says that the booking was not made, which is true.
func TestStoppingVMSendsNothingAgainThatMayOutlastIt(t *testing.T) {
	b := newBench(t)
	b.grace.Store(int64(6 * time.Second))
	leavesAndSheds := func(w http.ResponseWriter, r *http.Request) {
		b.leavingSince.Store(int64(b.clock.Now() - 3200*time.Millisecond))
		b.leaving.Store(true)
		sheds(w, r)
	}
	play := firstThen(leavesAndSheds, works)
	b.target("a", "pool", play)
	b.target("b", "pool", play)
	resp := b.get("patient.example", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.EqualValues(t, 1, b.hits.Load())
}

// A target broke a search off that a VM which leaves had passed on, so nothing can be promised
// any more. Another target may still answer it before the VM is gone.
func TestStoppingVMSendsAgainWhatMayHaveRun(t *testing.T) {
	b := newBench(t)
	b.grace.Store(int64(6 * time.Second))
	leavesAndBreaks := func(w http.ResponseWriter, r *http.Request) {
		b.leavingSince.Store(int64(b.clock.Now() - 3200*time.Millisecond))
		b.leaving.Store(true)
		breaks(w, r)
	}
	play := firstThen(leavesAndBreaks, works)
	b.target("a", "pool", play)
	b.target("b", "pool", play)
	require.Equal(t, http.StatusOK, b.get("patient.example", nil, "").StatusCode)
	require.EqualValues(t, 2, b.hits.Load())
}

// A request that may have run is sent again so shortly before the VM ends that the caller's
// connection ends without an answer.
func TestStoppingVMDoesNotSendAgainWhatMayOutlastIt(t *testing.T) {
	b := newBench(t)
	b.grace.Store(int64(6 * time.Second))
	leavesAndFails := func(w http.ResponseWriter, _ *http.Request) {
		b.leavingSince.Store(int64(b.clock.Now() - 5200*time.Millisecond))
		b.leaving.Store(true)
		w.Header().Set("Stamp", "first")
		w.WriteHeader(http.StatusInternalServerError)
	}
	play := firstThen(leavesAndFails, works)
	b.target("a", "pool", play)
	b.target("b", "pool", play)
	resp := b.get("patient.example", nil, "")
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Equal(t, "first", resp.Header.Get("Stamp"), "the answer of the target that ran it")
	require.EqualValues(t, 1, b.hits.Load())
}
