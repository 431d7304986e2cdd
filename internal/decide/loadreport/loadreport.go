// Package loadreport decides by the load that targets report themselves which target of a pool gets a request,
// and whether an owner has a free slot for long work.
//
// Targets share their machines with other work and slow down for a fraction of a second, several times a
// second. A VM sends to each target about once a second or less, so what it learned from the last answer is out
// of date. If a fifth of the targets is slow at any moment, a fifth of the requests meets a slow one, even if
// most targets are idle. Where targets report their load in the response to a health check, an inquiry costs one
// round trip in the data centre, which is much less than what a late answer costs.
package loadreport

import "time"

// Report is the load that a target reports.
type Report struct {
	// Running and Waiting are numbers of requests of all VMs.
	Running, Waiting int
	// Slots is how many requests the target runs at a time.
	Slots int
	// Slowness is the current service time relative to the normal one.
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

// Work is the service time of requests at a target with a slowness of 1.
type Work struct {
	// Own is the duration of the request, Mean that of all requests to the service.
	Own, Mean time.Duration
}

// Rounds returns the time that a request takes if it is sent now, queueing included, relative to its service time.
func (r Report) Rounds(w Work) float64 {
	queued := max(0, float64(r.Running+r.Waiting+1-r.Slots)) / float64(r.Slots)
	if w.Own <= 0 {
		return 1 + queued
	}
	return 1 + queued*float64(w.Mean)/float64(w.Own)
}

// Expected returns the time that a request takes if it is sent now, queueing included.
func (r Report) Expected(w Work) time.Duration {
	return time.Duration(r.Slowness * r.Rounds(w) * float64(w.Own))
}

// HasFreeSlot reports whether a request that is sent now runs at once.
func (r Report) HasFreeSlot() bool { return r.Running+r.Waiting < r.Slots }

const (
	// MaxAsked is the number of targets of a pool that are asked for one request. If a fifth of them is slow, one
	// request in 125 finds three slow ones.
	MaxAsked = 3
	// MaxAskedWhileFull is the number of targets that are asked if the first ones are full.
	MaxAskedWhileFull = 2 * MaxAsked
	// normalSlowness is the slowness up to which a target with a free slot is not worth another inquiry. Other
	// work on its machine makes a target about three times slower.
	normalSlowness = 1.25
	// objectiveShare is the share of the objective within which all expected times count as equal, as in package
	// pick. Service times vary by more than a factor of two, so with a higher share more answers are late.
	objectiveShare = 0.4
)

// Accepts reports whether a target of a pool gets a request without further inquiries: it has a free slot and
// about its normal speed, or is expected to answer well within the objective.
func (r Report) Accepts(w Work, objective time.Duration) bool {
	if r.HasFreeSlot() && r.Slowness <= normalSlowness {
		return true
	}
	return w.Own > 0 && float64(r.Expected(w)) <= objectiveShare*float64(objective)
}

// maxLateness bounds the expected time at the best target of a pool, as a multiple of the objective. At 1.5 a
// request with a short service time can still be answered within the objective.
const maxLateness = 1.5

// Suits reports whether a target of a pool may get a request if no target accepts it. Without this limit, all
// answers of an overloaded pool are late, because all requests wait in full queues.
func (r Report) Suits(w Work, objective, timeLeft time.Duration) bool {
	if r.Judge(w, timeLeft) == Refuse {
		return false
	}
	return r.HasFreeSlot() || float64(r.Expected(w)) <= maxLateness*float64(objective)
}

const (
	// maxLoad bounds the requests at a target, as a multiple of its slots. Targets queue about four times their
	// slots, and those of some services never answer a request that does not fit. The difference allows for
	// requests of other VMs between an inquiry and the request.
	maxLoad = 3
	// maxSlotWaitShare is the share of its objective for which long work waits for a second free slot. From 0.6
	// on, long work misses its own objective more often than it saves short work from missing one.
	maxSlotWaitShare = 0.4
	// PollInterval is the mean time between two inquiries of a request that waits for a free slot. It is about the
	// service time of the short work that occupies the slot.
	PollInterval = 40 * time.Millisecond
)

// LongWork reports whether a request occupies a slot for at least the objective of other requests to the same
// service, which would be late if they waited for it.
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
	// Refuse: the owner is overloaded.
	Refuse
)

// Judge decides about a request that must be answered within timeLeft. It returns Send or Refuse.
func (r Report) Judge(w Work, timeLeft time.Duration) Verdict {
	if r.Running+r.Waiting >= maxLoad*r.Slots || r.Expected(w) > timeLeft {
		return Refuse
	}
	return Send
}

// JudgeLong decides about a request with long work that has waited for some time. It keeps a slot free for short
// work until maxSlotWaitShare of the objective has passed.
func (r Report) JudgeLong(w Work, objective, waited time.Duration) Verdict {
	switch {
	case r.Running+r.Waiting+1 < r.Slots:
		return Send
	case float64(waited) < maxSlotWaitShare*float64(objective):
		return Wait
	case r.Expected(w) <= objective:
		return Send
	}
	return Refuse
}
