// Package pick chooses a target of a pool for a request, and estimates how long the
// request would take there.
//
// The targets of a pool differ in speed, have few slots, and are used by many VMs at
// once. Without a shared view, VMs would send more requests than fit to the same targets,
// because each VM believes that they are free.
//
// The expected time of a request at a target is the target's measured slowness times
// the queue of all VMs' requests there, in units of its slots. The target with the
// least expected time is chosen. A target in another data centre must be better by
// crossDataCentreFactor, because traffic between data centres has a cost.
package pick

import (
	"math"
	"time"
)

const (
	// slownessSamples is the number of answers over which the slowness of a target is
	// averaged. A target that becomes ten times slower gets half as many requests
	// after one answer, and a tenth after about four.
	slownessSamples = 6
	// failureSamples is the number of requests over which the share of failures is averaged.
	failureSamples = 8
	// crossDataCentreFactor is how many times faster a target in another data centre
	// must be. Traffic between data centres costs about 4% of an answer's value.
	crossDataCentreFactor = 1.2
	// objectiveShare is the share of the objective within which all expected times count
	// as equal: a target that is faster than that is not better.
	objectiveShare = 0.4
	// queueFactor bounds the requests of all VMs at a target, as a multiple of its slots:
	// the running ones, and a queue of twice as many. Targets queue about four times
	// their slots; the lower bound allows for figures of other VMs that are 0.1 s old.
	queueFactor = 3
	// reserveFactor is how much longer the queue may be for the most urgent requests, as
	// a multiple of the slots. The sum with queueFactor must be below 4, because targets
	// queue about four times their slots.
	reserveFactor = 0.75
	// LoadsInterval is the interval between calls of SetOthers. At each of them
	// State.Unreported decays by unreportedDecay, so that it is nearly 0 after the
	// reporting interval of the VMs. unreportedShare is the assumed ratio of the
	// requests that each other VM sends at the same time to those of this VM: a half,
	// because most of the load that a VM sees is its own.
	LoadsInterval   = 50 * time.Millisecond
	unreportedDecay = 0.6
	unreportedShare = 0.5
	// minBackoff and maxBackoff bound the back-off of a target that cannot be reached,
	// which doubles with each failure. The next request after it serves as a probe.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// maxLostInARow is how many consecutive answers must be lost before a target that
	// accepts connections gets a back-off.
	maxLostInARow = 3
	// maxRatio bounds the ratio of measured to expected time of one answer; its
	// reciprocal is the lower bound.
	maxRatio = 20.0
)

// State is the load and the measurements of one target. The zero value is a new target.
type State struct {
	// Slots is how many requests the target runs at a time.
	Slots int
	// Own is the number of this VM's requests at the target, Others the number of
	// other VMs' requests as last reported.
	Own, Others int
	// Near reports whether the target is in this VM's data centre.
	Near bool
	// Unreported is an estimate of the requests that other VMs have sent to the target
	// since their last reports. It is derived from what this VM sent, because the
	// cause of the load is usually the same for all VMs.
	Unreported float64

	logSlow      float64
	measured     Measured
	failures     float64
	lostInARow   int
	backoffs     int
	backoffUntil time.Duration
}

// Load returns the number of requests of all VMs at the target.
func (s *State) Load() int { return s.Own + s.Others + int(s.Unreported) }

// Sent records a request that this VM sends to the target; vms is the number of VMs that
// use the target. The others are assumed to send requests too: if each VM counted its own
// only, together they would overload the owner of a hot key.
func (s *State) Sent(vms int) {
	s.Own++
	s.Unreported += unreportedShare * float64(vms-1)
}

// Ended records the end of a request of this VM. The requests of other VMs that Sent
// assumed with it are assumed to have ended, too.
func (s *State) Ended(vms int) {
	s.Own--
	s.Unreported = max(0, s.Unreported-unreportedShare*float64(vms-1))
}

// SetOthers sets the number of other VMs' requests at the target. It is called once per
// LoadsInterval.
func (s *State) SetOthers(others int) {
	s.Others = others
	s.Unreported *= unreportedDecay
}

// InUse reports whether this VM has requests at the target, or had some recently.
func (s *State) InUse() bool { return s.Own > 0 || s.Unreported >= 1 }

// Full reports whether the target may get no more requests.
func (s *State) Full() bool { return s.Load() >= queueFactor*max(s.Slots, 1) }

// FullFor is like Full, but allows for the longer queue of reserveFactor if the request
// may use that reserve.
func (s *State) FullFor(mayUseReserve bool) bool {
	if !mayUseReserve {
		return s.Full()
	}
	return float64(s.Load()) >= (queueFactor+reserveFactor)*float64(max(s.Slots, 1))
}

// AcceptsCold reports whether the target may get a request for a cold key, for which it
// needs a free slot. Requests for cold keys take several times as long; if they were
// queued with the others, they would occupy all slots.
func (s *State) AcceptsCold() bool { return s.Load() < max(s.Slots, 1) }

// BackingOff reports whether the target is in back-off after a failed connection or
// several lost answers.
func (s *State) BackingOff(now time.Duration) bool { return now < s.backoffUntil }

// Slowness returns the ratio of the target's measured service times to the usual ones.
func (s *State) Slowness() float64 { return math.Exp(s.logSlow) }

// Rounds returns how long a request that is sent now would take, queueing included, in
// units of the target's service time.
func (s *State) Rounds() float64 { return RoundsAt(s.Load(), s.Slots) }

// RoundsAt is State.Rounds for a target with this load and number of slots.
func RoundsAt(load, slots int) float64 {
	n := float64(max(slots, 1))
	return 1 + max(0, float64(load+1)-n)/n
}

// Expected returns how long a request with this usual service time would take at the
// target, queueing included.
func (s *State) Expected(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * s.Slowness() * s.Rounds())
}

// Job describes a request that needs a target.
type Job struct {
	// Usual is the usual service time of such requests, 0 if unknown.
	Usual time.Duration
	// Objective is the time within which the answer has its full value.
	Objective time.Duration
	// StartIndex is the index of the target that is examined first. Of equally good
	// targets the first is chosen, so if all searches started at index 0, the first
	// targets of the list would get nearly all requests.
	StartIndex int
	// MayUseReserve reports whether the request may use the longer queue; see FullFor.
	MayUseReserve bool
}

// enoughServiceTimes returns objectiveShare of the objective in units of the usual
// service time, 0 if that is unknown.
func (j Job) enoughServiceTimes() float64 {
	if j.Usual <= 0 {
		return 0
	}
	return objectiveShare * float64(j.Objective) / float64(j.Usual)
}

func (s *State) score(j Job) float64 {
	// An idle target is preferred to one with some slots in use: some targets slow down
	// as their slots fill, and the risk is spread.
	fill := 1 + 0.1*float64(s.Load())/float64(max(s.Slots, 1))
	works := max(0.05, 1-s.failures)
	score := max(s.Slowness()*s.Rounds(), j.enoughServiceTimes()) * fill / (works * works)
	if !s.Near {
		score *= crossDataCentreFactor
	}
	return score
}

// Answered records an answer that took the given time; usual is the usual service time of
// such requests, and rounds the value of Rounds when the request was sent.
func (s *State) Answered(took, usual time.Duration, rounds float64) {
	s.AnsweredWhile(1, took, usual, rounds)
}

// AnsweredWhile is Answered for a target that has reported its current slowness. Slowness returns what the
// reported slowness does not explain, because the expected time of the next request is derived from both.
func (s *State) AnsweredWhile(reported float64, took, usual time.Duration, rounds float64) {
	s.Reached()
	s.failures -= s.failures / failureSamples
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(BoundRatio(float64(took) / (float64(usual) * rounds)))
	s.logSlow += (ratio - math.Log(reported) - s.logSlow) / slownessSamples
	s.measured.Answers++
	s.measured.logSum += ratio
}

// Measured is the mean slowness of some answers of a target, including what the target reported.
type Measured struct {
	Answers int
	logSum  float64
}

// Slowness returns the geometric mean, or 1 without answers.
func (m Measured) Slowness() float64 { return math.Exp(m.logSum / float64(max(m.Answers, 1))) }

// TakeMeasured returns the slowness of the answers since the last call.
func (s *State) TakeMeasured() Measured {
	m := s.measured
	s.measured = Measured{}
	return m
}

// BoundRatio limits a ratio of measured to expected time, so that a single answer does not
// dominate an average.
func BoundRatio(ratio float64) float64 { return min(max(ratio, 1/maxRatio), maxRatio) }

// Failed records a request that the target refused or that failed there.
func (s *State) Failed() { s.failures += (1 - s.failures) / failureSamples }

// ConnectFailed records a failed connection to the target.
func (s *State) ConnectFailed(now time.Duration) {
	s.Failed()
	s.backOff(now)
}

// Reached records that a connection to the target was opened, which ends the back-off.
func (s *State) Reached() { s.lostInARow, s.backoffs, s.backoffUntil = 0, 0, 0 }

// AnswerLost records that an answer of the target did not arrive. The target gets a back-off
// only after several lost answers in a row, because in a back-off all requests for its keys
// are refused.
func (s *State) AnswerLost(now time.Duration) {
	s.Failed()
	if s.lostInARow++; s.lostInARow >= maxLostInARow {
		s.backOff(now)
	}
}

func (s *State) backOff(now time.Duration) {
	s.backoffUntil = now + min(minBackoff<<min(s.backoffs, 8), maxBackoff)
	s.backoffs++
}

// Choose returns the index of the best target, or -1 if there is none that is neither full
// nor skipped. skip reports which targets to leave out. Targets in back-off are chosen only
// if no other is left.
func Choose(states []*State, j Job, skip func(int) bool, now time.Duration) int {
	best, bestScore := -1, math.Inf(1)
	for k := range states {
		i := (j.StartIndex + k) % len(states)
		s := states[i]
		if s.FullFor(j.MayUseReserve) || skip(i) {
			continue
		}
		score := s.score(j)
		if s.BackingOff(now) {
			score += 1e6
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
