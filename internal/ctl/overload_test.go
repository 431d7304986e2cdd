package ctl

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answeredLine returns the log line of a request that a target answered.
func answeredLine(at time.Duration, target string, load int, took time.Duration) string {
	return requestLine(at, fmt.Sprintf(`"status":200,"reason":"answered","attempts":["%s load %d expected 0ms took %dms 200"]`, target, load, took.Milliseconds()))
}

// refusedLine returns the log line of a request that was refused because a target was full.
func refusedLine(at time.Duration, target string, slots int) string {
	return requestLine(at, fmt.Sprintf(`"status":503,"reason":"all full","attempts":[],"refusedOn":"%s own 0 others 9 likely 0.0 slots %d slowness 1.00"`, target, slots))
}

func requestLine(at time.Duration, fields string) string {
	return fmt.Sprintf(`{"time":%q,"process":"hq-gateway","vm":"vm-a","step":"request","route":"r",%s,"message":"request ended"}`,
		time.Unix(1000, 0).Add(at).UTC().Format(time.RFC3339Nano), fields)
}

func overloadOf(t *testing.T, lines ...string) *Overload {
	t.Helper()
	read, skipped, err := readLines(strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	require.Zero(t, skipped)
	s := make(trafficByTarget)
	for _, l := range read {
		s.add(l)
	}
	return s.summary()
}

// Guards against counting refusals at a busy target as requests that it could have served.
func TestOverloadCountsInFlightRequestsOfAllVMs(t *testing.T) {
	const ms = time.Millisecond
	o := overloadOf(t,
		answeredLine(1200*ms, "t-1", 0, 400*ms), // in flight from 800 to 1200
		refusedLine(1000*ms, "t-1", 1),
		refusedLine(1010*ms, "t-1", 1),
		refusedLine(1600*ms, "t-1", 1),
		answeredLine(2000*ms, "t-2", 0, 100*ms),
	)
	require.Len(t, o.Targets, 1, "the other refused nothing")
	got := o.Targets[0]
	require.Equal(t, 3, got.Refused)
	require.Equal(t, 1, got.RefusedIdle, "the one at 1.6 s")
	require.InDelta(t, 250, got.ServiceMs, 1e-9, "of all targets, since it has one answer")
	require.InDelta(t, 0.8, got.Servable, 1e-9, "200 ms of a slot at 250 ms each")
	require.InDelta(t, 3/(2*0.8), got.Demand, 1e-9)
}

func TestOverloadTracksEachAttemptOfARequest(t *testing.T) {
	const ms = time.Millisecond
	o := overloadOf(t,
		requestLine(1000*ms, `"status":200,"reason":"answered","attempts":["t-1 load 0 expected 0ms took 300ms 500","t-2 load 0 expected 0ms took 200ms 200"]`),
		refusedLine(600*ms, "t-1", 1), // t-1 had it from 500 to 800, t-2 until 1000
		refusedLine(900*ms, "t-1", 1),
		refusedLine(900*ms, "t-2", 1),
	)
	require.Len(t, o.Targets, 2)
	require.Equal(t, 1, o.Targets[0].RefusedIdle)
	require.Zero(t, o.Targets[1].RefusedIdle)
}

func TestOverloadOfTargetsWithUnknownSlots(t *testing.T) {
	const ms = time.Millisecond
	hotter := requestLine(time.Second, `"status":503,"reason":"key is hotter than its owner","attempts":[],"refusedOn":"t-1 part 0.5 epoch 1 seq 1"`)
	o := overloadOf(t, hotter, answeredLine(900*ms, "t-1", 0, 100*ms))
	require.Empty(t, o.Targets)
	require.Equal(t, 1, o.Unknown)
	o = overloadOf(t, hotter, refusedLine(1100*ms, "t-1", 2), answeredLine(900*ms, "t-1", 0, 100*ms))
	require.Len(t, o.Targets, 1)
	require.Equal(t, 2, o.Targets[0].Refused)

	var out strings.Builder
	o.Write(&out)
	require.Contains(t, out.String(), "refused for the load of 1 targets: 2, of them 2 with a free slot there")
}
