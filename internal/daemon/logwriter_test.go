package daemon

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Nobody reads the log. The process must go on, keep the newest counts, and say
// how much is missing when the reader is back.
func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	reader, pipe := io.Pipe()
	w := newLogWriter(pipe)
	const written = logLines + 100
	for range written {
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
	require.Equal(t, written-int(dropped), strings.Count(got.String(), "line\n"))
	require.Contains(t, got.String(), "log lines dropped since the start")
}
