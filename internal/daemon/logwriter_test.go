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

// Nobody reads the log. The process must go on, keep the newest counts, and say
// how much is missing when the reader is back.
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

// blockedWriter is an output that nobody reads.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// Nobody reads the output, and the process is asked to stop. It waited for its reader
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

// The collector of logs ended, and the next line ended the daemon by SIGPIPE, seen as
// exit code 141 of a gateway under load. Without survive this test ends its process.
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

// The reader is slow in the busiest second. Requests filled the queue, and the line on
// the change that explains them was the one that was lost.
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
	require.Equal(t, dropped, w.dropped.Count(), "nothing else is dropped")
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	require.NoError(t, w.Close())
}
