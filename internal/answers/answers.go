// Package answers reads answers of HTTP servers: an answer is whole, or an error.
//
// It watches the connections of all clients of the project, below their parsers. The parser of net/http takes any three characters that
// make a number for a status and accepts blanks in names of fields (RFC 9110, 5.1 and 15; RFC 9112, 5.1 and 5.2). And a body without
// a length ends with the connection, but the system reports a reset to one call only: if a write gets the report, the read beside it
// gets an end of stream.
package answers

import (
	"errors"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// ErrBroken says that what a server sent is no answer, or only a part of one. The server may have run the request.
var ErrBroken = errors.New("broken answer")

// maxLines bounds the log lines on broken answers, per second.
const maxLines = 5

// Log counts the broken answers that a process receives, and logs them at a bounded rate. It is safe for concurrent use. A nil Log
// does nothing.
type Log struct {
	broken metrics.Counter
	lines  *rate.Limiter
	log    *log.Logger
}

// NewLog returns a Log with a counter answers.broken in registry.
func NewLog(registry metrics.Registry, to *log.Logger) *Log {
	return &Log{broken: metrics.GetOrRegisterCounter("answers.broken", registry), lines: rate.NewLimiter(maxLines, maxLines), log: to}
}

// Broken records a broken answer of the server at addr.
func (l *Log) Broken(addr string, err error) {
	if l == nil {
		return
	}
	l.broken.Inc(1)
	if l.lines.Allow() {
		l.log.Warn().Str("step", "answers").Str("addr", addr).Int64("broken", l.broken.Count()).Err(err).Msg("broken answer")
	}
}
