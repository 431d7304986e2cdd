// Package duration estimates the service time of requests by customer and kind of work.
//
// Load pattern: one request in a thousand takes a hundred times longer than the rest.
// Without an estimate per kind, long jobs are treated as short ones: they occupy all slots
// of a target at once, short requests wait behind them for a second, and refusals by
// deadline are guesswork.
//
// A kind consists of the customer, the method and the first segment of the path. Other
// differences between long and short jobs are known only to the target. A kind that has not
// been seen yet is expected to take the mean of all kinds.
//
// Rationale: a moving mean over the last 16 answers of a kind follows a change within a
// second at 16 requests a second. For exponential service times its standard error is a
// quarter of the mean, far below the factor of 8 from which a job counts as long. The usual
// service time is a geometric mean, which a few long jobs hardly affect. For exponential
// times it is 0.56 of the mean, so 8 times the usual time is 4.5 times the mean, which a
// mean of 16 samples never reaches by chance.
package duration

import (
	"math"
	"strings"
	"time"
)

// Kind is a class of requests that are expected to take about the same time.
type Kind struct {
	Customer string
	Method   string
	// Part is the first segment of the path.
	Part string
}

// KindOf returns the kind of a request. The path may contain a query, which is ignored.
func KindOf(customer, method, path string) Kind {
	path, _, _ = strings.Cut(path, "?")
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return Kind{Customer: customer, Method: method, Part: part}
}

const (
	// kindSamples and allSamples are the window lengths of the moving means.
	kindSamples = 16
	allSamples  = 256
	// longFactor is the multiple of the usual service time above which a kind is long.
	longFactor = 8
	// minLongSamples is the number of samples of a kind before it may count as long.
	minLongSamples = 2
	// minSamples is the number of samples before requests may be refused by an estimate.
	minSamples = 8
	// maxKinds bounds the memory: callers choose the paths, so the number of kinds is
	// unbounded.
	maxKinds = 1024
	// defaultEstimate is the expected service time before the first answer.
	defaultEstimate = 10 * time.Millisecond
	// minDuration is the shortest time recorded, so that logarithms and shares are finite.
	minDuration = 10 * time.Microsecond
)

// movingMean is an exponential moving mean. Until it has as many values as its window, it is
// the arithmetic mean.
type movingMean struct {
	value float64
	n     int
}

func (m *movingMean) add(x float64, samples int) {
	m.n = min(m.n+1, samples)
	m.value += (x - m.value) / float64(m.n)
}

// Table holds the service times of one service. It is not safe for concurrent use.
type Table struct {
	kinds   map[Kind]*movingMean
	overall movingMean
	// logMean is the mean of the logarithms, for the geometric mean.
	logMean movingMean
}

// NewTable returns a table without samples.
func NewTable() *Table { return &Table{kinds: make(map[Kind]*movingMean)} }

// Add records a service time.
func (t *Table) Add(k Kind, d time.Duration) {
	s := max(d, minDuration).Seconds()
	t.overall.add(s, allSamples)
	t.logMean.add(math.Log(s), allSamples)
	m := t.kinds[k]
	if m == nil {
		if len(t.kinds) >= maxKinds {
			t.evictOne()
		}
		m = &movingMean{}
		t.kinds[k] = m
	}
	m.add(s, kindSamples)
}

// evictOne deletes an arbitrary kind. Any will do, since a kind in use is learned again
// within a few answers.
func (t *Table) evictOne() {
	for k := range t.kinds {
		delete(t.kinds, k)
		return
	}
}

// Known reports whether there are enough samples to refuse requests by the estimates.
func (t *Table) Known() bool { return t.overall.n >= minSamples }

// Mean returns the mean service time of all requests.
func (t *Table) Mean() time.Duration {
	if t.overall.n == 0 {
		return defaultEstimate
	}
	return seconds(t.overall.value)
}

// Expect returns the expected service time of a kind.
func (t *Table) Expect(k Kind) time.Duration {
	if m := t.kinds[k]; m != nil {
		return seconds(m.value)
	}
	return t.Mean()
}

// Long reports whether requests of the kind take far longer than usual.
func (t *Table) Long(k Kind) bool {
	m := t.kinds[k]
	return m != nil && m.n >= minLongSamples && t.Known() && m.value > longFactor*math.Exp(t.logMean.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
