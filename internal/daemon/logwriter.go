package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// logLines bounds the lines that wait for the reader of the log: a second of a
// full rate of requests, about a megabyte.
const logLines = 4096

// requestRoom is the part of them that lines on requests may fill: the rest is kept
// for changes of what the process believes, which are few and explain the others.
const requestRoom = logLines * 3 / 4

// requestMark is in the lines on single requests.
var requestMark = []byte(`"step":"request"`)

// logWriter hands lines to a goroutine that writes them.
// A full queue drops the line and counts it, so that requests never wait for the reader of the
// output. Lines on requests are dropped first.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped metrics.Counter
	done    chan struct{}
	once    sync.Once
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logLines), dropped: metrics.NewCounter(), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	if len(w.lines) >= requestRoom && bytes.Contains(line, requestMark) {
		w.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Inc(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.done)
	told := int64(0)
	for line := range w.lines {
		if n := w.dropped.Count(); n > told && len(w.lines) == 0 {
			told = n
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"step\":\"log\",\"dropped\":%d,\"message\":\"log lines dropped since the start\"}\n", n)...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Inc(1)
		}
	}
}

// flushMost bounds the writing of what waits at the end, well below the margin within
// which a process must end.
const flushMost = time.Second

var errNotFlushed = errors.New("log not written to its end: nobody reads it")

// Close writes what waits and ends.
// It does not wait for a reader that has ended.
func (w *logWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
		return nil
	case <-time.After(flushMost):
		return errNotFlushed
	}
}

// survive keeps the process alive when the reader of its output is gone.
// Without it the next line to the closed pipe would end the process by SIGPIPE.
func survive() { signal.Ignore(syscall.SIGPIPE) }
