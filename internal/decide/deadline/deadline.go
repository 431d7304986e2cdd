// Package deadline decides which requests are refused early.
//
// Load pattern: more work comes than the targets can do, for seconds or hours.
// Without early refusal every request waits until its deadline and most of the
// work is done for callers that have just gone: goodput falls towards nothing
// while all slots are busy, and each refusal takes the caller's whole patience.
//
// Two rules. A request whose expected wait and service time do not fit into its
// deadline is refused when it comes. And where interactive work is over the bound
// while more comes than the slots can do, the queue is kept at the bound until it
// has been empty. A burst may use the whole deadline; a standing queue gains
// nothing, it only makes each answer late.
//
// Grounds of the bound: with c slots and exponential service times of mean m at
// 90% of capacity, a wait has mean 10m/c where there is one, and about one request
// in a hundred waits 30 to 40 m/c (M/M/c). A wait of 2m + 30m/c at overload is
// therefore near what callers see at 90%, and is far more work than the slots need
// to stay busy. Overload differs from a burst by what comes after it: two windows
// of 100 ms one after the other, each with more work than the slots can do. In 100
// ms a pool of 20 slots and 8 ms gets 225 requests at 90% and passes its capacity
// by chance in one window of eight.
package deadline

import (
	"math"
	"time"
)

const (
	// boundMeans and boundPerSlot make the bound; see the package comment.
	boundMeans   = 2
	boundPerSlot = 30
	// minBound is below what a network of 1 ms and a scheduler can resolve.
	minBound = 5 * time.Millisecond
	// overloadWindow and windows are how long more must come than can be done before
	// the queue is cut to the bound.
	overloadWindow  = 100 * time.Millisecond
	overloadWindows = 2
)

// MaxStandingWait returns the longest wait of a standing queue.
func MaxStandingWait(mean time.Duration, slots float64) time.Duration {
	if slots < 1 {
		slots = 1
	}
	return max(time.Duration(float64(mean)*(boundMeans+boundPerSlot/slots)), minBound)
}

// Wait returns how long the work ahead takes on the slots, seconds of service
// over slots. No slots means that the wait is unknown, and 0 is returned.
func Wait(ahead, slots float64) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(time.Second))
}

// Meets reports whether a request can still be answered in time.
func Meets(left, wait, service time.Duration) bool { return wait+service <= left }

// LatestStart returns the moment from which a waiting request is past hope: its own
// service time no longer fits. It is refused then and not at the deadline.
func LatestStart(deadline time.Time, service time.Duration) time.Time {
	return deadline.Add(-service)
}

// StandingQueue notices a queue that does not empty because too much comes. The zero
// value is ready.
type StandingQueue struct {
	// windowStart is when the window began, over how many before it were over.
	windowStart time.Time
	overloaded  int
	arrived     float64
	standing    bool
}

// AddArrival notes work that came, seconds of service.
func (s *StandingQueue) AddArrival(work float64) { s.arrived += work }

// Update takes the wait that a request would have now. It returns whether the queue
// is to be kept at the bound. That ends when the queue has been empty.
func (s *StandingQueue) Update(now time.Time, wait, bound time.Duration, slots float64) bool {
	switch {
	case wait <= 0:
		*s = StandingQueue{}
	case s.standing:
	case wait < bound || s.windowStart.IsZero():
		*s = StandingQueue{windowStart: now}
	case now.Sub(s.windowStart) >= overloadWindow:
		s.endWindow(now, slots)
	}
	return s.standing
}

// endWindow ends a window.
func (s *StandingQueue) endWindow(now time.Time, slots float64) {
	overloaded := 0
	if s.arrived > slots*now.Sub(s.windowStart).Seconds() {
		overloaded = s.overloaded + 1
	}
	*s = StandingQueue{windowStart: now, overloaded: overloaded, standing: overloaded >= overloadWindows}
}

// Rate is a decayed sum of work, service seconds per second. The zero value is
// ready.
type Rate struct {
	sum     float64
	updated time.Time
}

// rateTimeConstant is the time over which a rate is taken: a few bursts.
const rateTimeConstant = time.Second

// Add notes work that was begun.
func (r *Rate) Add(now time.Time, work float64) {
	r.sum = r.decayed(now) + work
	r.updated = now
}

// Value returns the rate.
func (r *Rate) Value(now time.Time) float64 { return r.decayed(now) / rateTimeConstant.Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}
