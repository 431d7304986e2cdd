package daemon

import (
	"bytes"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The process that reads the log has stalled. Writes must neither block nor fail, and the log must
// report how many lines were dropped once it is read again.
func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	reader, pipe := io.Pipe()
	w := newLogWriter(pipe)
	const lineCount = maxQueuedLines + 100
	for range lineCount {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := w.dropped.Count()
	require.GreaterOrEqual(t, dropped, int64(98))
	var got bytes.Buffer
	read := make(chan struct{})
	go func() {
		_, _ = io.Copy(&got, reader)
		close(read)
	}()
	require.NoError(t, w.Close())
	pipe.Close()
	<-read
	require.Equal(t, lineCount-int(dropped), strings.Count(got.String(), "line\n"))
	require.Contains(t, got.String(), "log lines dropped since the start")
}

// blockedWriter is an output that blocks until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// Guards against a shutdown that waits for a stalled reader of the log: the process once waited
// until it was killed.
func TestStopDoesNotWaitForTheReaderOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		w := newLogWriter(out)
		_, _ = w.Write([]byte("line\n"))
		begin := time.Now()
		require.ErrorIs(t, w.Close(), errNotFlushed)
		require.Equal(t, flushTimeout, time.Since(begin))
		close(out.unblock)
	})
}

// Guards against the exit of the log collector ending the daemon: its next log line raised SIGPIPE,
// seen as exit code 141 of a gateway under load. Without ignoreSIGPIPE the test process itself ends.
func TestProcessSurvivesTheEndOfItsLogsReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	stdout := int(os.Stdout.Fd())
	saved, err := syscall.Dup(stdout)
	require.NoError(t, err)
	require.NoError(t, syscall.Dup3(int(writer.Fd()), stdout, 0))
	reader.Close()
	writer.Close()
	ignoreSIGPIPE()
	_, err = os.Stdout.WriteString("line\n")
	require.NoError(t, syscall.Dup3(saved, stdout, 0))
	require.ErrorIs(t, err, syscall.EPIPE)
}

// Guards against the loss of lines on state changes under load: lines on requests filled the queue
// while the log was read slowly, and the line that explained them was dropped.
func TestLinesOnRequestsLeaveRoomForOthers(t *testing.T) {
	reader, pipe := io.Pipe()
	w := newLogWriter(pipe)
	for range 2 * maxQueuedLines {
		_, _ = w.Write([]byte(`{"step":"request"}` + "\n"))
	}
	dropped := w.dropped.Count()
	require.Positive(t, dropped)
	for range maxQueuedLines - maxRequestLines - 1 {
		_, _ = w.Write([]byte(`{"step":"config"}` + "\n"))
	}
	require.Equal(t, dropped, w.dropped.Count(), "lines on other steps are not dropped")
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	require.NoError(t, w.Close())
}
