package ctl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const logA = `  8.10 vm-a {"time":"2026-01-01T10:00:02.000Z","level":"info","process":"hq-gateway","vm":"vm-a","step":"request","id":"r-1","service":"s","status":503,"reason":"owner of the key is lost","attempts":["t-9 load 1 expected 90ms took 200ms unsent: refused"],"message":"request ended"}
no log line
{"time":"2026-01-01T10:00:01.900Z","level":"info","process":"hq-gateway","vm":"vm-a","step":"request","id":"r-2","service":"s","status":200,"message":"request ended"}
`

const logB = `{"time":"2026-01-01T10:00:01.000Z","level":"warn","process":"hq-gateway","vm":"vm-b","step":"order","service":"s","target":"t-9","result":3,"message":"order not done"}
{"time":"2026-01-01T09:00:01.000Z","level":"warn","process":"hq-gateway","vm":"vm-b","step":"order","service":"s","target":"t-9","result":3,"message":"order not done"}
{"time":"2026-01-01T10:00:01.500Z","level":"info","process":"hq-gateway","vm":"vm-b","step":"targets","target":"t-1","service":"other","message":"target known"}
`

// Guards against explanations that miss the cause of a failed request or add unrelated
// lines. The request's own line comes after what another VM logged about its target.
func TestExplainLogsShowsRequestAndItsCause(t *testing.T) {
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	require.NoError(t, os.WriteFile(files[0], []byte(logA), 0o600))
	require.NoError(t, os.WriteFile(files[1], []byte(logB), 0o600))
	a, err := ExplainLogs("r-1", files)
	require.NoError(t, err)
	require.Equal(t, []string{"s", "t-9"}, a.Related)
	require.Equal(t, 1, a.Skipped)
	require.Len(t, a.Lines, 2)
	require.Equal(t, "order not done", a.Lines[0].Message)
	require.Equal(t, "vm-a", a.Lines[1].VM)
	require.Contains(t, a.Text(), "reason=owner of the key is lost")
	_, err = ExplainLogs("r-1", []string{filepath.Join(dir, "none")})
	require.Error(t, err)
}

const logWithGaps = `{"time":"2026-01-01T10:00:01.000Z","process":"hq-gateway","vm":"vm-a","step":"x","message":"m"}
{"time":"2026-01-01T10:00:01.100Z","process":"hq-gateway","vm":"vm-b","step":"x","message":"m"}
{"time":"2026-01-01T10:00:01.900Z","process":"hq-gateway","vm":"vm-a","step":"x","target":"t-1","message":"m"}
{"time":"2026-01-01T10:00:03.000Z","process":"hq-gateway","vm":"vm-a","step":"x","message":"m"}
{"time":"2026-01-01T10:00:03.500Z","process":"hq-gateway","vm":"vm-a","step":"x","message":"m"}
`

// Guards against request IDs that cannot be traced: a lost VM leaves no line about the
// requests that it had read, so the explanation must list the VMs with gaps.
func TestExplainLogsListsGapsForUnloggedRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "all")
	require.NoError(t, os.WriteFile(file, []byte(logWithGaps), 0o600))
	a, err := ExplainLogs("r-9", []string{file})
	require.NoError(t, err)
	require.Len(t, a.Gaps, 2)
	require.Equal(t, "vm-b", a.Gaps[0].VM)
	require.True(t, a.Gaps[0].Ended)
	require.Equal(t, "vm-a", a.Gaps[1].VM)
	require.False(t, a.Gaps[1].Ended)
	require.Contains(t, a.Text(), "10:00:01.100 vm-b wrote nothing to the end of the logs\n10:00:01.900 vm-a wrote nothing until 10:00:03.000\n")
	named, err := ExplainLogs("t-1", []string{file})
	require.NoError(t, err)
	require.NotContains(t, named.Text(), "vm-b wrote nothing")
}
