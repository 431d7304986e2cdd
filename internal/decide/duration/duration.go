// Package duration learns how long requests take, by customer and kind of work.
//
// Load pattern: one request in a thousand takes a hundred times longer than the
// rest. Without an estimate for each kind, long jobs are taken for short ones:
// they fill all slots of a target at once, short requests behind them wait for a
// second, and a refusal by deadline is a guess.
//
// A kind is the customer, the method and the first part of the path; what else
// distinguishes a long job from a short one, only its target knows. A kind that was not
// seen yet is expected to take the mean of all.
//
// Grounds: a moving mean over the last 16 answers of a kind follows a change
// within a second at 16 requests a second and has a standard error of a quarter
// of the mean for exponential service times, far below the factor of 8 that makes
// a job long. The usual service time is a geometric mean, since that moves little
// with a few long jobs: it is 0.56 of the mean for exponential times, so 8 times
// it is 4.5 times the mean, which the mean of 16 never reaches by chance.
package duration

import (
	"math"
	"strings"
	"time"
)

// Kind is a class of requests that take about as long as each other.
type Kind struct {
	Customer string
	Method   string
	// Part is the first part of the path.
	Part string
}

// KindOf returns the kind of a request. The path may hold a query.
func KindOf(customer, method, path string) Kind {
	path, _, _ = strings.Cut(path, "?")
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return Kind{Customer: customer, Method: method, Part: part}
}

const (
	// kindSamples and allSamples are how many answers the means reach over.
	kindSamples = 16
	allSamples  = 256
	// longFactor times the usual service time makes a job long.
	longFactor = 8
	// minLongSamples of a kind are needed before it counts as long.
	minLongSamples = 2
	// minSamples are needed before an estimate may refuse a request.
	minSamples = 8
	// maxKinds bounds the memory; callers choose paths, so kinds are endless.
	maxKinds = 1024
	// defaultEstimate is the service time before any answer.
	defaultEstimate = 10 * time.Millisecond
	// minDuration keeps logarithms and shares finite.
	minDuration = 10 * time.Microsecond
)

// movingMean is a moving movingMean that starts as a plain one.
type movingMean struct {
	value float64
	n     int
}

func (m *movingMean) add(x float64, samples int) {
	m.n = min(m.n+1, samples)
	m.value += (x - m.value) / float64(m.n)
}

// Table holds the means of one service. It is not safe for concurrent use.
type Table struct {
	kinds   map[Kind]*movingMean
	overall movingMean
	logMean movingMean
}

// NewTable returns a table without samples.
func NewTable() *Table { return &Table{kinds: make(map[Kind]*movingMean)} }

// Add notes a service time.
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

// evictOne drops a kind that the map yields first: any will do, a kind in use
// is learned again within a few answers.
func (t *Table) evictOne() {
	for k := range t.kinds {
		delete(t.kinds, k)
		return
	}
}

// Known reports whether estimates rest on enough answers to refuse by them.
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
