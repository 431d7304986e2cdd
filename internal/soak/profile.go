package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// Profile is what a soak looks for: the figures of its site and load, and how its faults are
// drawn.
type Profile struct {
	// Grace is how long after SIGTERM a process is killed.
	Grace time.Duration
	// Rate is the requests a second over both routes.
	Rate int
	// Deadline is the time that requests have, CallerTimeout how long callers wait.
	Deadline, CallerTimeout time.Duration
	// ReliableLinks reports whether no link fails: a VM then gives a request up only because it
	// stops.
	ReliableLinks bool
	// Generate returns the schedule of a seed. All faults are over at the end of the time.
	Generate func(seed uint64, over time.Duration) *Schedule
}

// Profiles are the profiles by name.
var Profiles = map[string]Profile{
	// mixed has faults of every kind but slow and mute targets, in series that overlap.
	"mixed": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, Generate: GenerateMixed},
	// stops has graceful shutdowns one after another while targets work for seconds and lose
	// answers, so that requests outlast the VMs that took them.
	"stops": {Grace: 6 * time.Second, Rate: 12, Deadline: 4500 * time.Millisecond, CallerTimeout: 6 * time.Second, ReliableLinks: true, Generate: GenerateStops},
}

// slowServiceTime is how long a slow target works on a request: longer than a VM stays after it has
// closed its listener.
const slowServiceTime = 2500 * time.Millisecond

// How stops are drawn.
var (
	// stopInterval is from the SIGTERM of one VM to that of the next, less than a stop takes: stops overlap.
	stopInterval = durationRange{2 * time.Second, 5 * time.Second}
	// targetFaultInterval is between two faults of targets, of which some overlap.
	targetFaultInterval = durationRange{200 * time.Millisecond, 1500 * time.Millisecond}
	stopsDurations      = map[Kind]durationRange{
		Terminate:   {500 * time.Millisecond, 7 * time.Second},
		SlowTarget:  {3 * time.Second, 10 * time.Second},
		DropAnswers: {time.Second, 4 * time.Second},
	}
)

// GenerateStops returns the schedule of a seed for the profile stops.
func GenerateStops(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	add := func(at time.Duration, kind Kind, what string) {
		s.add(Fault{At: model.Duration(at), Kind: kind, Subject: what, Duration: model.Duration(stopsDurations[kind].random(r))}, over)
	}
	order := r.Perm(vmCount)
	for at, n := targetFaultInterval.random(r), 0; at < over; at, n = at+stopInterval.random(r), n+1 {
		add(at, Terminate, vmNames()[order[n%vmCount]])
	}
	targets := targetNames()
	for at := targetFaultInterval.random(r); at < over; at += targetFaultInterval.random(r) {
		add(at, []Kind{SlowTarget, DropAnswers}[r.IntN(2)], targets[r.IntN(len(targets))])
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
