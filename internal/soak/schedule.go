// Package soak runs gateways as real processes against a simulated store and simulated
// targets, and injects faults into the processes and the links between them. It checks what
// targets and callers observe against the guarantees: one owner per key, at most one run of a
// non-idempotent request, intact answers, answers during a shutdown, and no unexpected exit.
//
// It complements the tests in virtual time, which cover one failure each and model the network
// as their author understood it. One fault of this kind: two targets held the same keys because the
// operating system still delivered what had been written to connections since closed, which only
// real connections show.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-json-experiment/json"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Each has a start and a duration.
const (
	// HoldLink delays all data on the link of a target, or on that of a VM to the store, until the
	// fault ends.
	HoldLink Kind = "cut"
	// ResetLink resets the open connections of the link of a target, or of that of a VM to the store.
	ResetLink Kind = "reset"
	// RemoveEntry removes the entry of a target from the store.
	RemoveEntry Kind = "lapse"
	// Suspend suspends the process of a VM.
	Suspend Kind = "stop"
	// Kill kills the process of a VM and restarts it when the fault ends.
	Kill Kind = "kill"
	// Terminate sends SIGTERM to the process of a VM, kills it after its grace period, and restarts
	// it when the fault ends.
	Terminate Kind = "term"
	// SlowTarget raises the service time of a target to seconds.
	SlowTarget Kind = "slow"
	// DropAnswers makes a target run requests and close the connection instead of answering.
	DropAnswers Kind = "mute"
	// DropPaths cuts a VM from all targets: nothing arrives, and dials get no response. It needs a profile
	// with separate paths, as the next two do.
	DropPaths Kind = "pathdrop"
	// ResetPaths resets the connections of a VM to all targets and refuses new ones.
	ResetPaths Kind = "pathreset"
	// RefusePaths refuses new connections of a VM to all targets. Open ones go on.
	RefusePaths Kind = "pathrefuse"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is when the fault starts, from the start of traffic.
	At   model.Duration `json:"at"`
	Kind Kind           `json:"kind"`
	// Subject names a target or a VM. HoldLink and ResetLink of a VM concern its link to the store.
	Subject string `json:"what"`
	// Duration is how long the fault lasts.
	Duration model.Duration `json:"for"`
	// Limit is what a StateLimit states, in requests per second.
	Limit float64 `json:"limit,omitempty"`
	// DrainAfter is when the store lists a target as draining, after AnnounceLeaving has begun.
	DrainAfter model.Duration `json:"drainAfter,omitempty"`
	// Share is the part of the requests that RefuseRequests and SendEndlessly concern, or of the time for which Starve lets
	// a process run. Rest is the rest that the former asks
	// for.
	Share float64        `json:"share,omitempty"`
	Rest  model.Duration `json:"rest,omitempty"`
}

// Schedule lists the faults of a run.
type Schedule struct {
	Faults []Fault `json:"faults"`
}

// kinds lists the kinds of faults of targets (true) and of VMs (false).
var kinds = map[bool][]Kind{true: {HoldLink, ResetLink, RemoveEntry, SlowTarget, DropAnswers}, false: {HoldLink, ResetLink, Suspend, Kill, Terminate}}

// otherVMKinds lists the kinds of faults of VMs that only some profiles have.
var otherVMKinds = append([]Kind{Starve}, pathKinds...)

// pathKinds lists the kinds of cuts of a VM from the targets.
var pathKinds = []Kind{DropPaths, ResetPaths, RefusePaths}

// Check implements settings.Checker.
func (s *Schedule) Check() error {
	for i, f := range s.Faults {
		target := slices.Contains(targetNames(), f.Subject)
		switch {
		case f.Kind == Evacuate && f.Subject == evacuatedDC && f.At >= 0 && f.Duration >= 0:
		case f.Kind == AddRoute && f.At >= 0 && f.Duration >= 0:
		case f.Kind == StoreAway && f.Subject == storeName && f.At >= 0 && f.Duration >= 0:
		case slices.Contains([]Kind{AnnounceLeaving, RefuseRequests, SendEndlessly}, f.Kind) && target && f.At >= 0 && f.Duration >= 0 && f.DrainAfter >= 0 && f.Share >= 0 && f.Rest >= 0:
		case f.Kind == StateLimit && target && f.At >= 0 && f.Duration >= 0 && f.Limit >= 0:
		case !target && !slices.Contains(names("vm", routeVMs), f.Subject):
			return settings.Invalid(fmt.Sprintf("/faults/%d/what", i), "%q is neither target nor VM", f.Subject)
		case !slices.Contains(kinds[target], f.Kind) && (target || !slices.Contains(otherVMKinds, f.Kind)):
			return settings.Invalid(fmt.Sprintf("/faults/%d/kind", i), "%q cannot happen to %s", f.Kind, f.Subject)
		case f.At < 0 || f.Duration < 0:
			return settings.Invalid(fmt.Sprintf("/faults/%d", i), "at or for is negative")
		}
	}
	return nil
}

// String renders the schedule as JSON with one line per fault, in the format of schedule files.
func (s *Schedule) String() string {
	out := "{\"faults\": ["
	for i, f := range s.Faults {
		line, err := json.Marshal(f)
		if err != nil {
			panic(fmt.Errorf("render fault %d: %w", i, err))
		}
		if i > 0 {
			out += ","
		}
		out += "\n  " + string(line)
	}
	return out + "\n]}\n"
}

// durationRange is a range from which durations are drawn at random.
type durationRange struct{ min, max time.Duration }

// Distributions of the faults of the profile mixed.
var (
	// seriesInterval is the time between the starts of two series of faults. It is shorter than
	// the longest faults, so that series overlap.
	seriesInterval = durationRange{time.Second, 5 * time.Second}
	// offsetInSeries is the time from the start of a series to the start of each of its faults.
	offsetInSeries = durationRange{0, 1500 * time.Millisecond}
	// durations holds the duration of faults by kind. A target holds its keys for about 2.4 s, so
	// that some link faults are shorter than this and some longer.
	durations = map[Kind]durationRange{
		HoldLink:  {300 * time.Millisecond, 8 * time.Second},
		ResetLink: {time.Millisecond, 2 * time.Millisecond},
		Suspend:   {200 * time.Millisecond, 5 * time.Second},
		Kill:      {200 * time.Millisecond, 4 * time.Second},
		Terminate: {time.Second, 5 * time.Second},
	}
)

const (
	// maxFaultsPerSeries is the maximum number of faults in a series.
	maxFaultsPerSeries = 4
	// resetOneIn makes one in this many faults of targets a ResetLink; the others are HoldLink.
	resetOneIn = 4
	// entryTTL is how long the entry of a target that is cut off stays in the store.
	entryTTL = 1500 * time.Millisecond
	// scheduleStream and loadStream select independent random sequences for the schedule and the load.
	scheduleStream, loadStream = 1, 2
)

func (s durationRange) random(r *rand.Rand) time.Duration {
	return (s.min + time.Duration(r.Int64N(int64(s.max-s.min)))).Round(time.Millisecond)
}

// GenerateMixed returns the fault schedule of a seed for the profile mixed. Every fault ends within
// the given duration.
func GenerateMixed(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	for begin := seriesInterval.min; begin < over; begin += seriesInterval.random(r) {
		for range 1 + r.IntN(maxFaultsPerSeries) {
			s.add(randomFault(r, begin+offsetInSeries.random(r)), over)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

func randomFault(r *rand.Rand, at time.Duration) Fault {
	names := targetNames()
	if r.IntN(2) == 0 {
		names = vmNames()
	}
	f := Fault{At: model.Duration(at), Kind: HoldLink, Subject: names[r.IntN(len(names))]}
	switch {
	case slices.Contains(vmNames(), f.Subject):
		f.Kind = kinds[false][r.IntN(len(kinds[false]))]
	case r.IntN(resetOneIn) == 0:
		f.Kind = ResetLink
	}
	f.Duration = model.Duration(durations[f.Kind].random(r))
	return f
}

// add appends a fault, shortened to end within the given duration. A HoldLink of a target that lasts
// longer than entryTTL also removes the target's entry.
func (s *Schedule) add(f Fault, over time.Duration) {
	f.Duration = min(f.Duration, model.Duration(over)-f.At)
	if f.Duration <= 0 {
		return
	}
	s.Faults = append(s.Faults, f)
	if f.Kind == HoldLink && f.Duration > model.Duration(entryTTL) && slices.Contains(targetNames(), f.Subject) {
		s.Faults = append(s.Faults, Fault{At: f.At + model.Duration(entryTTL), Kind: RemoveEntry, Subject: f.Subject, Duration: f.Duration - model.Duration(entryTTL)})
	}
}
