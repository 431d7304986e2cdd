// Package deadline decides which requests are refused early.
//
// Load pattern: more work arrives than the targets can serve, for seconds or hours.
// Without early refusal every request waits until its deadline, and most work is done for
// callers that have just timed out: goodput falls towards zero while all slots are busy,
// and each refusal arrives only at the caller's deadline.
//
// There are two rules. A request whose expected wait and service time exceed the time to
// its deadline is refused on arrival. And if the wait of interactive work is over a bound
// while more work arrives than the slots can serve, the queue is kept at the bound until it
// has been empty. A burst may use the whole deadline; a standing queue has no benefit and
// delays every answer.
//
// Rationale for the bound: with c slots and exponential service times of mean m at 90% of
// capacity (M/M/c), the mean wait of requests that wait is 10m/c, and about one request in
// a hundred waits 30 to 40 m/c. A wait of 2m + 30m/c under overload is therefore close to
// what callers see at 90%, and is far more work than needed to keep the slots busy.
// Overload is told from a burst by what follows: two consecutive windows of 100 ms, each
// with more work than the slots can serve. One window is not enough: at 90% a pool of 20
// slots with a service time of 8 ms gets 225 requests in 100 ms, and exceeds its capacity
// by chance in one window of eight.
package deadline

import (
	"math"
	"time"
)

const (
	// boundMeans and boundPerSlot are the factors of the bound, in mean service times and
	// in mean service times per slot; see the package comment.
	boundMeans   = 2
	boundPerSlot = 30
	// minBound is the lower limit of the bound. Shorter waits cannot be told from the delays
	// of a network with 1 ms latency and of the scheduler.
	minBound = 5 * time.Millisecond
	// overloadWindow and overloadWindows are the length and number of consecutive windows
	// in which more work must arrive than can be served before the queue is cut to the bound.
	overloadWindow  = 100 * time.Millisecond
	overloadWindows = 2
)

// MaxStandingWait returns the bound on the wait in a standing queue, from the mean service
// time and the number of slots. Less than one slot counts as one.
func MaxStandingWait(mean time.Duration, slots float64) time.Duration {
	if slots < 1 {
		slots = 1
	}
	return max(time.Duration(float64(mean)*(boundMeans+boundPerSlot/slots)), minBound)
}

// Wait returns how long the slots need for the work ahead, given in seconds of service
// time. Without slots the wait is unknown, and Wait returns 0.
func Wait(ahead, slots float64) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(time.Second))
}

// Meets reports whether a request with the given time left to its deadline can still be
// answered in time.
func Meets(left, wait, service time.Duration) bool { return wait+service <= left }

// LatestStart returns the latest time at which a request can start and still meet its
// deadline. A request that waits longer is refused then rather than at the deadline.
func LatestStart(deadline time.Time, service time.Duration) time.Time {
	return deadline.Add(-service)
}

// StandingQueue detects a queue that does not empty because more work arrives than can be
// served. The zero value is ready to use.
type StandingQueue struct {
	windowStart time.Time
	// overloaded is the number of consecutive overloaded windows before the current one.
	overloaded int
	// arrived is the work that arrived in the current window, in seconds of service time.
	arrived  float64
	standing bool
}

// AddArrival adds work that has arrived, in seconds of service time.
func (s *StandingQueue) AddArrival(work float64) { s.arrived += work }

// Update takes the wait that a request would have now, and reports whether the queue must
// be kept at the bound. Once it must, that remains so until the queue has been empty.
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

// endWindow evaluates the current window and starts the next one.
func (s *StandingQueue) endWindow(now time.Time, slots float64) {
	overloaded := 0
	if s.arrived > slots*now.Sub(s.windowStart).Seconds() {
		overloaded = s.overloaded + 1
	}
	*s = StandingQueue{windowStart: now, overloaded: overloaded, standing: overloaded >= overloadWindows}
}

// Rate is an exponentially decaying rate of work, in seconds of service time per second.
// The zero value is ready to use.
type Rate struct {
	sum     float64
	updated time.Time
}

// rateTimeConstant is the time constant of the decay. It covers a few bursts.
const rateTimeConstant = time.Second

// Add adds work that was started, in seconds of service time.
func (r *Rate) Add(now time.Time, work float64) {
	r.sum = r.decayed(now) + work
	r.updated = now
}

// Value returns the rate at the time now.
func (r *Rate) Value(now time.Time) float64 { return r.decayed(now) / rateTimeConstant.Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}
