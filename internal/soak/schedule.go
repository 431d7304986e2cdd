// Package soak plays a small site with real processes and faults: gateways as processes,
// the platform's store and targets played beside it, links between them that are cut. It
// holds what targets and callers see against the promises of one owner, at most one run
// and whole answers.
//
// Failure that it looks for: tests in virtual time play one failure each, and the network
// as their author knew it. Two targets held the same keys because the system sent on what
// had been written to closed connections, which only a real connection shows.
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

// The kinds. Each begins at a moment and is over after a time.
const (
	// HoldLink: the link of a target, or that of a VM to the store, holds what is sent.
	HoldLink Kind = "cut"
	// ResetLink: the open connections of a link end, those of a target or of a VM to the store.
	ResetLink Kind = "reset"
	// RemoveEntry: the store has no entry of a target.
	RemoveEntry Kind = "lapse"
	// Suspend: a VM's process is suspended.
	Suspend Kind = "stop"
	// Kill: a VM's process is killed, and started again when the fault is over.
	Kill Kind = "kill"
	// Terminate: a VM's process is asked to leave, is killed after its grace, and is started again.
	Terminate Kind = "term"
	// SlowTarget: a target works for seconds on each request.
	SlowTarget Kind = "slow"
	// DropAnswers: a target ends its connections in place of answers to requests that it ran.
	DropAnswers Kind = "mute"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it begins, from the start of traffic.
	At   model.Duration `json:"at"`
	Kind Kind           `json:"kind"`
	// Subject names a target or a VM. A cut of a VM is that of its link to the store.
	Subject string `json:"what"`
	// Duration is how long it lasts.
	Duration model.Duration `json:"for"`
}

// Schedule is a list of faults.
type Schedule struct {
	Faults []Fault `json:"faults"`
}

// kinds are what may happen to targets and VMs.
var kinds = map[bool][]Kind{true: {HoldLink, ResetLink, RemoveEntry, SlowTarget, DropAnswers}, false: {HoldLink, ResetLink, Suspend, Kill, Terminate}}

// Check implements settings.Checker.
func (s *Schedule) Check() error {
	for i, f := range s.Faults {
		target := slices.Contains(targetNames(), f.Subject)
		switch {
		case !target && !slices.Contains(vmNames(), f.Subject):
			return settings.Impossible(fmt.Sprintf("/faults/%d/what", i), "%q is neither target nor VM", f.Subject)
		case !slices.Contains(kinds[target], f.Kind):
			return settings.Impossible(fmt.Sprintf("/faults/%d/kind", i), "%q cannot happen to %s", f.Kind, f.Subject)
		case f.At < 0 || f.Duration < 0:
			return settings.Impossible(fmt.Sprintf("/faults/%d", i), "a time is negative")
		}
	}
	return nil
}

// String renders the schedule as JSON, a line for each fault, as a file has it.
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

// durationRange is a range from which a time is drawn.
type durationRange struct{ min, max time.Duration }

// How faults are drawn.
var (
	// seriesInterval is from the start of one series to that of the next, less than faults
	// last: series overlap.
	seriesInterval = durationRange{time.Second, 5 * time.Second}
	// offsetInSeries is from the start of a series to that of each of its faults.
	offsetInSeries = durationRange{0, 1500 * time.Millisecond}
	// durations is by kind. A target's hold is about 2.4 s: cuts are shorter and longer.
	durations = map[Kind]durationRange{
		HoldLink:  {300 * time.Millisecond, 8 * time.Second},
		ResetLink: {time.Millisecond, 2 * time.Millisecond},
		Suspend:   {200 * time.Millisecond, 5 * time.Second},
		Kill:      {200 * time.Millisecond, 4 * time.Second},
		Terminate: {time.Second, 5 * time.Second},
	}
)

const (
	// maxFaultsPerSeries bounds the faults of a series.
	maxFaultsPerSeries = 4
	// resetOneIn: one in so many faults of a target is a reset, the others are cuts.
	resetOneIn = 4
	// entryTTL is how long a target that is cut off stays in the store.
	entryTTL = 1500 * time.Millisecond
	// scheduleStream separates the schedule's random numbers from the load's.
	scheduleStream, loadStream = 1, 2
)

func (s durationRange) random(r *rand.Rand) time.Duration {
	return (s.min + time.Duration(r.Int64N(int64(s.max-s.min)))).Round(time.Millisecond)
}

// GenerateMixed returns the schedule of a seed. All faults are over at the end of the time.
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

// add takes a fault in, and with the cut of a target the lapse of its entry.
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
