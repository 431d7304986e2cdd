// Package loadreport decides, from what targets say of their own load, which target of a pool gets a request
// and whether an owner has room for long work.
//
// Targets share their machines with others and slow down several times a second for a fraction of a second.
// A VM sends to each target too seldom to notice: what it learned from the last answer is seconds old. A
// fifth of the requests then meets a slow target, also while most targets are idle. Where targets answer at
// once how they are doing, asking costs a round trip in the data centre, much less than a late answer.
package loadreport

import "time"

// Report is what a target says of its load.
type Report struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	Slots            int
	// Slowness is how long work takes at this moment, 1 as usual.
	Slowness float64
}

// Bounds of plausible values.
const (
	maxRequests = 1 << 16
	maxSlowness = 100
	minSlowness = 0.01
)

// Valid reports whether the values are plausible.
func (r Report) Valid() bool {
	return r.Running >= 0 && r.Running <= maxRequests && r.Waiting >= 0 && r.Waiting <= maxRequests &&
		r.Slots > 0 && r.Slots <= maxRequests && r.Slowness >= minSlowness && r.Slowness <= maxSlowness
}

// Work is how long requests usually run on a target while its machine is as usual.
type Work struct {
	// Own is the duration of the request, Mean that of all requests to the service.
	Own, Mean time.Duration
}

// Rounds returns how long a request takes that is sent now, queueing included, in units of its own work.
func (r Report) Rounds(w Work) float64 {
	queued := max(0, float64(r.Running+r.Waiting+1-r.Slots)) / float64(r.Slots)
	if w.Own <= 0 {
		return 1 + queued
	}
	return 1 + queued*float64(w.Mean)/float64(w.Own)
}

// Expected returns how long a request takes that is sent now.
func (r Report) Expected(w Work) time.Duration {
	return time.Duration(r.Slowness * r.Rounds(w) * float64(w.Own))
}

// HasFreeSlot reports whether a request that is sent now runs at once.
func (r Report) HasFreeSlot() bool { return r.Running+r.Waiting < r.Slots }

const (
	// MaxAsked is the number of targets of a pool that are asked for one request.
	MaxAsked = 3
	// usualSlowness is the slowness up to which a target counts as usual.
	usualSlowness = 1.25
	// objectiveShare is the share of the objective within which all expected times count as equal.
	objectiveShare = 0.4
)

// Accepts reports whether a target of a pool gets a request without further targets being asked: it has a
// free slot and is not slower than usual, or is expected to answer well within the objective.
func (r Report) Accepts(w Work, objective time.Duration) bool {
	if r.HasFreeSlot() && r.Slowness <= usualSlowness {
		return true
	}
	return w.Own > 0 && float64(r.Expected(w)) <= objectiveShare*float64(objective)
}

// maxLateness bounds the expected time at the best target of a pool, as a multiple of the objective.
const maxLateness = 1.5

// Suits reports whether a target of a pool gets a request if no target accepts it. In a pool that gets more
// requests than it can run, the answers to all of them would come late.
func (r Report) Suits(w Work, objective, timeLeft time.Duration) bool {
	if r.Judge(w, timeLeft) == Refuse {
		return false
	}
	return r.HasFreeSlot() || float64(r.Expected(w)) <= maxLateness*float64(objective)
}

const (
	// maxLoad bounds the requests at an owner, as a multiple of its slots. Owners queue about four times
	// their slots, and those of some services never answer a request that does not fit.
	maxLoad = 3
	// patienceShare is the share of its objective for which long work waits for an owner with room for
	// short work besides.
	patienceShare = 0.4
	// PollInterval is the mean time between two inquiries of a request that waits for room.
	PollInterval = 40 * time.Millisecond
)

// LongWork reports whether work occupies a slot for longer than the callers of other requests to the same
// service, whose objective is the given one, are willing to wait.
func LongWork(work, otherObjective time.Duration) bool {
	return otherObjective > 0 && work >= otherObjective
}

// Verdict says what becomes of a request for a key after its owner was asked.
type Verdict int

// The verdicts.
const (
	// Send: the request is sent now.
	Send Verdict = iota
	// Wait: the owner is asked again after PollInterval.
	Wait
	// Refuse: the owner is too busy.
	Refuse
)

// Judge decides about a request that must be answered within timeLeft.
func (r Report) Judge(w Work, timeLeft time.Duration) Verdict {
	if r.Running+r.Waiting >= maxLoad*r.Slots || r.Expected(w) > timeLeft {
		return Refuse
	}
	return Send
}

// JudgeLong decides about long work of a request that has waited for some time. A slot stays free for short
// work as long as the callers of the long work can wait for it.
func (r Report) JudgeLong(w Work, objective, waited time.Duration) Verdict {
	switch {
	case r.Running+r.Waiting+1 < r.Slots:
		return Send
	case float64(waited) < patienceShare*float64(objective):
		return Wait
	case r.Expected(w) <= objective:
		return Send
	}
	return Refuse
}
