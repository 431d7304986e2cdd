// Package pick chooses the target of a pool for a request, and estimates how long the
// request would wait there.
//
// Targets of a pool differ in speed, have few slots, and are used by all VMs at once. Without a shared
// view each VM fills the targets that it believes to be free, and they collide.
//
// A target's expected time is its measured slowness times the queue that all VMs
// together have there, in units of its slots. The fastest to finish is taken. A
// target in another data centre must be better by crossCost, which pays for the
// bytes between data centres.
package pick

import (
	"math"
	"time"
)

const (
	// slownessSamples is how many answers the slowness of a target reaches over. A
	// target that turns ten times slower is down to half of its requests after
	// one answer and to a tenth after about four.
	slownessSamples = 6
	// failureSamples is how many ends the share of failures reaches over.
	failureSamples = 8
	// crossDataCentreFactor is by how much faster a target in another data centre must be.
	// Bytes between data centres cost about 4% of an answer's value.
	crossDataCentreFactor = 1.2
	// objectiveShare is the part of its objective within which an answer may take as
	// long as it likes: targets that are faster still are not better.
	objectiveShare = 0.4
	// queueFactor bounds what all VMs together have at a target, in units of its
	// slots: what runs, and a queue of twice as much. Targets queue about
	// four times their slots; our view of the other VMs is 0.1 s old.
	queueFactor = 3
	// reserveFactor is by how much longer the queue may be for the most urgent requests,
	// in units of slots: targets queue about four times their slots.
	reserveFactor = 0.75
	// LoadsInterval is the time between two calls of SetOthers. unseenFade lets what was not
	// seen fade within the period of the VMs' reports. unseenShare is how
	// much of what this VM sends the others send too: half, since most load is
	// of its own making.
	LoadsInterval   = 50 * time.Millisecond
	unreportedDecay = 0.6
	unreportedShare = 0.5
	// minBackoff and restMost bound the rest of a target that cannot be reached,
	// which doubles with each failure. The probe that ends it is a request.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// maxLostInARow is how many answers in a row must be lost before a target rests that
	// takes connections.
	maxLostInARow = 3
	// maxRatio bounds how far one answer counts, in either direction.
	maxRatio = 20.0
)

// State is what is known of one target. The zero value is a new target.
type State struct {
	// Slots is how many requests it runs at a time.
	Slots int
	// Own is how many requests of this VM are there, Others those of the other
	// VMs as last reported.
	Own, Others int
	// Near reports whether it is in this VM's data centre.
	Near bool
	// Unreported is what the other VMs are likely to have sent there since their last
	// reports: as much as this one, for the same reason.
	Unreported float64

	logSlow      float64
	failures     float64
	lostInARow   int
	backoffs     int
	backoffUntil time.Duration
}

// Load returns the requests of all VMs at the target.
func (s *State) Load() int { return s.Own + s.Others + int(s.Unreported) }

// Sent notes a request that goes there, of one of so many VMs.
// Otherwise each VM sends the owner of a hot key what fits there by its own count.
func (s *State) Sent(vms int) {
	s.Own++
	s.Unreported += unreportedShare * float64(vms-1)
}

// Ended notes that a request of this VM ended there: those of the others that were
// sent with it have ended, too.
func (s *State) Ended(vms int) {
	s.Own--
	s.Unreported = max(0, s.Unreported-unreportedShare*float64(vms-1))
}

// SetOthers sets what the other VMs have there. It is called each LoadsEvery.
func (s *State) SetOthers(others int) {
	s.Others = others
	s.Unreported *= unreportedDecay
}

// InUse reports whether requests of this VM are there, or were lately.
func (s *State) InUse() bool { return s.Own > 0 || s.Unreported >= 1 }

// Full reports whether it may queue no more.
func (s *State) Full() bool { return s.Load() >= queueFactor*max(s.Slots, 1) }

// FullFor is Full for a request that may have the last places, or may not.
func (s *State) FullFor(lastPlaces bool) bool {
	if !lastPlaces {
		return s.Full()
	}
	return float64(s.Load()) >= (queueFactor+reserveFactor)*float64(max(s.Slots, 1))
}

// AcceptsCold reports whether it may get a request for a cold key: only into a free slot.
// Requests for cold keys take several times as long; queued with the others they would hold all slots.
func (s *State) AcceptsCold() bool { return s.Load() < max(s.Slots, 1) }

// BackingOff reports whether it could not be reached just now.
func (s *State) BackingOff(now time.Duration) bool { return now < s.backoffUntil }

// Slowness is the ratio of its measured service times to the usual ones.
func (s *State) Slowness() float64 { return math.Exp(s.logSlow) }

// Rounds is the queue in front of a request that is added now, in units of one
// service time, the request's own included.
func (s *State) Rounds() float64 {
	slots := float64(max(s.Slots, 1))
	return 1 + max(0, float64(s.Load()+1)-slots)/slots
}

// Expected returns how long a request with this usual service time would take.
func (s *State) Expected(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * s.Slowness() * s.Rounds())
}

// Job is what is known of a request that needs a target.
type Job struct {
	// Usual is how long such requests take, 0 where that is not known.
	Usual time.Duration
	// Objective is the time within which the answer has its full value.
	Objective time.Duration
	// StartIndex is the target that is examined first: of several that are equally good
	// the first is taken.
	// Searched in one order, the first targets of the list would get nearly all requests.
	StartIndex int
	// MayUseReserve reports whether it may have the last places of a full target.
	MayUseReserve bool
}

// enoughServiceTimes is the number of service times that are soon enoughServiceTimes.
func (j Job) enoughServiceTimes() float64 {
	if j.Usual <= 0 {
		return 0
	}
	return objectiveShare * float64(j.Objective) / float64(j.Usual)
}

func (s *State) score(j Job) float64 {
	// Partly filled slots slow down some targets, and spread risk.
	fill := 1 + 0.1*float64(s.Load())/float64(max(s.Slots, 1))
	works := max(0.05, 1-s.failures)
	score := max(s.Slowness()*s.Rounds(), j.enoughServiceTimes()) * fill / (works * works)
	if !s.Near {
		score *= crossDataCentreFactor
	}
	return score
}

// Answered records an answer that took so long, where such requests usually take
// usual. rounds is what Rounds was when it was sent.
func (s *State) Answered(took, usual time.Duration, rounds float64) {
	s.lostInARow, s.backoffs, s.backoffUntil = 0, 0, 0
	s.failures -= s.failures / failureSamples
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := BoundRatio(float64(took) / (float64(usual) * rounds))
	s.logSlow += (math.Log(ratio) - s.logSlow) / slownessSamples
}

// BoundRatio bounds a ratio of measured to expected time, so that one answer does not count
// for too much.
func BoundRatio(ratio float64) float64 { return min(max(ratio, 1/maxRatio), maxRatio) }

// Failed records a request that the target ran or refused without success.
func (s *State) Failed() { s.failures += (1 - s.failures) / failureSamples }

// ConnectFailed records that the target could not be connected to.
func (s *State) ConnectFailed(now time.Duration) {
	s.Failed()
	s.backOff(now)
}

// AnswerLost records that an answer of the target did not come.
// A single lost answer is no reason to refuse all requests for its keys.
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

// Choose returns the index of the best target, or -1 where all are full. skip
// reports which to leave out; targets that rest are taken where no other is left.
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
