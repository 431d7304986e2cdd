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

// maxQueuedLines bounds the queue of unwritten log lines. It holds one second of lines at
// the full request rate, about a megabyte.
const maxQueuedLines = 4096

// maxRequestLines is the queue length from which lines on single requests are dropped. The
// rest of the queue is reserved for lines on state changes, which are few and explain the others.
const maxRequestLines = maxQueuedLines * 3 / 4

// requestMarker is the part of a log line that marks it as one on a single request.
var requestMarker = []byte(`"step":"request"`)

// logWriter writes log lines from a queue, in a goroutine of its own.
// A line that finds the queue full is dropped and counted, so that requests never wait for the
// process that reads the output. Lines on single requests are dropped first.
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

// flushTimeout bounds the writing of queued lines at exit. It is well below the time that a
// process has to end.
const flushTimeout = time.Second

var errNotFlushed = errors.New("queued log lines were not written in time: standard output is not being read")

// Close writes the queued lines and stops the goroutine.
// It returns errNotFlushed if the output does not accept them within flushTimeout.
func (w *logWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
		return nil
	case <-time.After(flushTimeout):
		return errNotFlushed
	}
}

// ignoreSIGPIPE keeps the process running when the reader of its standard output exits.
// Otherwise the next write to the closed pipe would end the process by SIGPIPE.
func ignoreSIGPIPE() { signal.Ignore(syscall.SIGPIPE) }
