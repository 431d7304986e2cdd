package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logRequests = `{"time":"2026-01-01T10:00:02.100Z","process":"hq-gateway","vm":"vm-a","step":"request","route":"r-1","status":503,"reason":"all full","took":0.1,"refusedOn":"t-9 own 1 others 9","key":7,"message":"request ended"}
{"time":"2026-01-01T10:00:01.900Z","process":"hq-gateway","vm":"vm-a","step":"request","route":"r-1","status":200,"reason":"answered","took":90,"attempts":["t-1 load 0 took 89ms 200"],"key":8,"message":"request ended"}
{"time":"2026-01-01T10:00:04.000Z","process":"hq-gateway","vm":"vm-a","step":"spread","owner":"t-9","message":"hot keys get another owner"}
not a line
`

const logOtherVM = `{"time":"2026-01-01T10:00:02.500Z","process":"hq-gateway","vm":"vm-b","step":"request","route":"r-2","status":503,"reason":"all full","took":300,"refusedOn":"t-9 own 2 others 8","key":7,"message":"request ended"}
{"time":"2026-01-01T10:00:03.500Z","process":"hq-gateway","vm":"vm-b","step":"request","route":"r-2","status":503,"reason":"all full","took":0.2,"refusedOn":"t-2 own 2 others 8","key":9,"message":"request ended"}
`

// Guards against a summary that does not show the cause of many refusals: it must name
// the reason, the targets and keys that most of them concern, and the seconds.
func TestSummaryCountsReasonTargetKeyAndSecond(t *testing.T) {
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	require.NoError(t, os.WriteFile(files[0], []byte(logRequests), 0o600))
	require.NoError(t, os.WriteFile(files[1], []byte(logOtherVM), 0o600))
	l, err := SummariseRequests(files)
	require.NoError(t, err)
	require.Equal(t, 4, l.Requests)
	require.Equal(t, 1, l.Skipped)
	require.Len(t, l.Outcomes, 2)
	full := l.Outcomes[0]
	require.Equal(t, "all full", full.Reason)
	require.Equal(t, 3, full.Requests)
	require.Equal(t, []int{0, 2, 1}, full.Seconds)
	require.Equal(t, []NameCount{{"t-9", 2}, {"t-2", 1}}, full.Targets)
	require.Equal(t, []NameCount{{"7", 2}, {"9", 1}}, full.Keys)
	require.Equal(t, []NameCount{{"r-2", 2}, {"r-1", 1}}, full.Routes)
	require.InDelta(t, 300, full.Took.Max, 3)
	require.Equal(t, []NameCount{{"t-1", 1}}, l.Outcomes[1].Targets)

	var out strings.Builder
	l.Write(&out)
	require.Contains(t, out.String(), "t-9:2 t-2:1")
	svg := filepath.Join(dir, "losses.svg")
	require.NoError(t, l.Plot(svg))
	drawn, err := os.ReadFile(svg)
	require.NoError(t, err)
	require.Contains(t, string(drawn), "all full")
}

func TestSummaryOfNoRequests(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a")
	require.NoError(t, os.WriteFile(file, []byte("nothing\n"), 0o600))
	l, err := SummariseRequests([]string{file})
	require.NoError(t, err)
	require.Zero(t, l.Requests)
	l.Write(&strings.Builder{})
	require.ErrorIs(t, l.Plot(file+".svg"), errNoRequests)
	_, err = SummariseRequests([]string{file + "-none"})
	require.Error(t, err)
}

// Guards against parsing the values in decidedOn, which led to the refusal, as a target.
func TestRefusalWithoutRetriesCountsForLastTriedTarget(t *testing.T) {
	l := Line{Fields: map[string]any{
		"decidedOn": "saved 0.4 most 11.8 requests 852 vms 10 age 5200ms",
		"attempts":  []any{"t-1 load 0 took 9ms 503", "t-2 load 0 took 9ms 503"},
	}}
	require.Equal(t, "t-2", decidingTarget(l))
}
