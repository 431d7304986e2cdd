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

// maxQueuedLines bounds the lines that wait for the reader of the log: a second of a
// full rate of requests, about a megabyte.
const maxQueuedLines = 4096

// maxRequestLines is the part of them that lines on requests may fill: the rest is kept
// for changes of what the process believes, which are few and explain the others.
const maxRequestLines = maxQueuedLines * 3 / 4

// requestMarker is in the lines on single requests.
var requestMarker = []byte(`"step":"request"`)

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
	w := &logWriter{out: out, lines: make(chan []byte, maxQueuedLines), dropped: metrics.NewCounter(), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	if len(w.lines) >= maxRequestLines && bytes.Contains(line, requestMarker) {
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
	reported := int64(0)
	for line := range w.lines {
		if n := w.dropped.Count(); n > reported && len(w.lines) == 0 {
			reported = n
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"step\":\"log\",\"dropped\":%d,\"message\":\"log lines dropped since the start\"}\n", n)...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Inc(1)
		}
	}
}

// flushTimeout bounds the writing of what waits at the end, well below the margin within
// which a process must end.
const flushTimeout = time.Second

var errNotFlushed = errors.New("log not written to its end: nobody reads it")

// Close writes what waits and ends.
// It does not wait for a reader that has ended.
func (w *logWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
		return nil
	case <-time.After(flushTimeout):
		return errNotFlushed
	}
}

// ignoreSIGPIPE keeps the process alive when the reader of its output is gone.
// Without it the next line to the closed pipe would end the process by SIGPIPE.
func ignoreSIGPIPE() { signal.Ignore(syscall.SIGPIPE) }
