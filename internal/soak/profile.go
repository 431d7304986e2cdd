package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// Profile sets the parameters of a soak run: the shutdown grace period, the load, and the generator
// of its faults.
type Profile struct {
	// Grace is the time between SIGTERM and SIGKILL of a process.
	Grace time.Duration
	// Rate is the number of requests per second over both routes.
	Rate int
	// Deadline is the deadline that requests carry, CallerTimeout the time after which callers
	// stop waiting for the answer.
	Deadline, CallerTimeout time.Duration
	// VMs is the number of VMs. 0: vmCount.
	VMs int
	// ReliableLinks is set if no link fails, so that a VM aborts a request only because it shuts
	// down.
	ReliableLinks bool
	// SeparatePaths is set if each VM has links of its own to the targets, which can be cut.
	SeparatePaths bool
	// Limits is set if targets say something of themselves, such as limits. Then they know by its address which VM has
	// sent a request.
	Limits bool
	// Pipelines is set if some callers pipeline requests, and targets reset the connections of requests that they have no
	// room for.
	Pipelines bool
	// TwoDataCentres is set if the last target of each service is in a data centre of its own, which
	// operators evacuate.
	TwoDataCentres bool
	// Generate returns the fault schedule of a seed. Every fault ends within the given duration.
	Generate func(seed uint64, over time.Duration) *Schedule
}

// vmNames returns the names of the VMs of the profile.
func (p Profile) vmNames() []string {
	if p.VMs > 0 {
		return names("vm", p.VMs)
	}
	return vmNames()
}

// Profiles lists the profiles by name.
var Profiles = map[string]Profile{
	// mixed has overlapping series of faults of every kind except slow targets and targets that
	// drop answers.
	"mixed": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, Generate: GenerateMixed},
	// stops shuts down one VM after another gracefully while targets take seconds per request and
	// drop answers, so that requests outlast the VMs that accepted them.
	"stops": {Grace: 6 * time.Second, Rate: 12, Deadline: 4500 * time.Millisecond, CallerTimeout: 6 * time.Second, ReliableLinks: true, Generate: GenerateStops},
	// evacuations has operators evacuate a data centre and take it back, while VMs are killed, suspended, or
	// lose the store.
	"evacuations": {Grace: 3 * time.Second, Rate: 60, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, TwoDataCentres: true, Generate: GenerateEvacuations},
	// routes has operators add routes while most of twelve VMs do not reach the store, and others are killed,
	// suspended or stopped.
	"routes": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, VMs: routeVMs, Generate: GenerateRoutes},
	// starved has operators add routes while some of twelve VMs are short of processor time and others do not reach the
	// store.
	"starved": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, VMs: routeVMs, Generate: GenerateStarved},
	// limits has targets state limits, which rise, fall, end and come again, while VMs are killed, suspended,
	// stopped, or lose the store.
	"limits": {Grace: 3 * time.Second, Rate: 90, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, VMs: limitVMs, Limits: true, Generate: GenerateLimits},
	// signals has targets say that they leave, refuse requests and ask for a rest, or send bytes without end, alone or many,
	// while the store is away and VMs are killed, suspended or stopped.
	"signals": {Grace: 3 * time.Second, Rate: 90, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, VMs: limitVMs, Limits: true, Generate: GenerateSignals},
	// pipelines has callers pipeline requests, read slowly and leave, and targets without room reset connections, under the
	// faults of mixed.
	"pipelines": {Grace: 3 * time.Second, Rate: 40, Deadline: 2 * time.Second, CallerTimeout: 4 * time.Second, Pipelines: true, Generate: GenerateMixed},
	// paths cuts VMs from all targets, one or all but one at a time, the grantor's among them, and checks
	// that they serve nearly as often as the others.
	"paths": {Grace: 3 * time.Second, Rate: 90, Deadline: 800 * time.Millisecond, CallerTimeout: 2 * time.Second, SeparatePaths: true, Generate: GeneratePaths},
}

// slowServiceTime is the service time of a slow target: longer than a VM keeps running after it has
// closed its listener.
const slowServiceTime = 2500 * time.Millisecond

// Distributions of the faults of the profile stops.
var (
	// stopInterval is the time between the SIGTERMs of two VMs. It is shorter than a shutdown, so
	// that shutdowns overlap.
	stopInterval = durationRange{2 * time.Second, 5 * time.Second}
	// targetFaultInterval is the time between two faults of targets, some of which overlap.
	targetFaultInterval = durationRange{200 * time.Millisecond, 1500 * time.Millisecond}
	stopsDurations      = map[Kind]durationRange{
		Terminate:   {500 * time.Millisecond, 7 * time.Second},
		SlowTarget:  {3 * time.Second, 10 * time.Second},
		DropAnswers: {time.Second, 4 * time.Second},
	}
)

// GenerateStops returns the fault schedule of a seed for the profile stops.
func GenerateStops(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	add := func(at time.Duration, kind Kind, subject string) {
		s.add(Fault{At: model.Duration(at), Kind: kind, Subject: subject, Duration: model.Duration(stopsDurations[kind].random(r))}, over)
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
