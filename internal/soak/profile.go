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
	// Deadline is the time that requests have, Patience how long callers wait.
	Deadline, Patience time.Duration
	// SoundLinks reports whether no link fails: a VM then gives a request up only because it
	// stops.
	SoundLinks bool
	// Generate returns the schedule of a seed. All faults are over at the end of the time.
	Generate func(seed uint64, over time.Duration) *Schedule
}

// Profiles are the profiles by name.
var Profiles = map[string]Profile{
	// mixed has faults of every kind but slow and mute targets, in series that overlap.
	"mixed": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, Patience: 4 * time.Second, Generate: Draw},
	// stops has graceful shutdowns one after another while targets work for seconds and lose
	// answers, so that requests outlast the VMs that took them.
	"stops": {Grace: 6 * time.Second, Rate: 12, Deadline: 4500 * time.Millisecond, Patience: 6 * time.Second, SoundLinks: true, Generate: DrawStops},
}

// slowWork is how long a slow target works on a request: longer than a VM stays after it has
// closed its listener.
const slowWork = 2500 * time.Millisecond

// How stops are drawn.
var (
	// betweenStops is from the SIGTERM of one VM to that of the next, less than a stop takes: stops overlap.
	betweenStops = span{2 * time.Second, 5 * time.Second}
	// betweenTargets is between two faults of targets, of which some overlap.
	betweenTargets = span{200 * time.Millisecond, 1500 * time.Millisecond}
	stopsLast      = map[Kind]span{
		Term: {500 * time.Millisecond, 7 * time.Second},
		Slow: {3 * time.Second, 10 * time.Second},
		Mute: {time.Second, 4 * time.Second},
	}
)

// DrawStops returns the schedule of a seed for the profile stops.
func DrawStops(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	add := func(at time.Duration, kind Kind, what string) {
		s.add(Fault{At: model.Duration(at), Kind: kind, What: what, For: model.Duration(stopsLast[kind].draw(r))}, over)
	}
	order := r.Perm(vmCount)
	for at, n := betweenTargets.draw(r), 0; at < over; at, n = at+betweenStops.draw(r), n+1 {
		add(at, Term, vmNames()[order[n%vmCount]])
	}
	targets := targetNames()
	for at := betweenTargets.draw(r); at < over; at += betweenTargets.draw(r) {
		add(at, []Kind{Slow, Mute}[r.IntN(2)], targets[r.IntN(len(targets))])
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
