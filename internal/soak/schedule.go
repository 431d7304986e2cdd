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
	// Cut: the link of a target, or that of a VM to the store, holds what is sent.
	Cut Kind = "cut"
	// Reset: the open connections of a link end, those of a target or of a VM to the store.
	Reset Kind = "reset"
	// Lapse: the store has no entry of a target.
	Lapse Kind = "lapse"
	// Stop: a VM's process is suspended.
	Stop Kind = "stop"
	// Kill: a VM's process is killed, and started again when the fault is over.
	Kill Kind = "kill"
	// Term: a VM's process is asked to leave, is killed after its grace, and is started again.
	Term Kind = "term"
	// Slow: a target works for seconds on each request.
	Slow Kind = "slow"
	// Mute: a target ends its connections in place of answers to requests that it ran.
	Mute Kind = "mute"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it begins, from the start of traffic.
	At   model.Duration `json:"at"`
	Kind Kind           `json:"kind"`
	// What names a target or a VM. A cut of a VM is that of its link to the store.
	What string `json:"what"`
	// For is how long it lasts.
	For model.Duration `json:"for"`
}

// Schedule is a list of faults.
type Schedule struct {
	Faults []Fault `json:"faults"`
}

// kinds are what may happen to targets and VMs.
var kinds = map[bool][]Kind{true: {Cut, Reset, Lapse, Slow, Mute}, false: {Cut, Reset, Stop, Kill, Term}}

// Check implements settings.Checker.
func (s *Schedule) Check() error {
	for i, f := range s.Faults {
		target := slices.Contains(targetNames(), f.What)
		switch {
		case !target && !slices.Contains(vmNames(), f.What):
			return settings.Invalid(fmt.Sprintf("/faults/%d/what", i), "%q is neither target nor VM", f.What)
		case !slices.Contains(kinds[target], f.Kind):
			return settings.Invalid(fmt.Sprintf("/faults/%d/kind", i), "%q cannot happen to %s", f.Kind, f.What)
		case f.At < 0 || f.For < 0:
			return settings.Invalid(fmt.Sprintf("/faults/%d", i), "a time is negative")
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

// span is a range from which a time is drawn.
type span struct{ least, most time.Duration }

// How faults are drawn.
var (
	// betweenSeries is from the start of one series to that of the next, less than faults
	// last: series overlap.
	betweenSeries = span{time.Second, 5 * time.Second}
	// inSeries is from the start of a series to that of each of its faults.
	inSeries = span{0, 1500 * time.Millisecond}
	// lasts is by kind. A target's hold is about 2.4 s: cuts are shorter and longer.
	lasts = map[Kind]span{
		Cut:   {300 * time.Millisecond, 8 * time.Second},
		Reset: {time.Millisecond, 2 * time.Millisecond},
		Stop:  {200 * time.Millisecond, 5 * time.Second},
		Kill:  {200 * time.Millisecond, 4 * time.Second},
		Term:  {time.Second, 5 * time.Second},
	}
)

const (
	// mostInSeries bounds the faults of a series.
	mostInSeries = 4
	// resetEvery: one in so many faults of a target is a reset, the others are cuts.
	resetEvery = 4
	// entryLife is how long a target that is cut off stays in the store.
	entryLife = 1500 * time.Millisecond
	// scheduleStream separates the schedule's random numbers from the load's.
	scheduleStream, loadStream = 1, 2
)

func (s span) draw(r *rand.Rand) time.Duration {
	return (s.least + time.Duration(r.Int64N(int64(s.most-s.least)))).Round(time.Millisecond)
}

// Draw returns the schedule of a seed. All faults are over at the end of the time.
func Draw(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	for begin := betweenSeries.least; begin < over; begin += betweenSeries.draw(r) {
		for range 1 + r.IntN(mostInSeries) {
			s.add(drawFault(r, begin+inSeries.draw(r)), over)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

func drawFault(r *rand.Rand, at time.Duration) Fault {
	names := targetNames()
	if r.IntN(2) == 0 {
		names = vmNames()
	}
	f := Fault{At: model.Duration(at), Kind: Cut, What: names[r.IntN(len(names))]}
	switch {
	case slices.Contains(vmNames(), f.What):
		f.Kind = kinds[false][r.IntN(len(kinds[false]))]
	case r.IntN(resetEvery) == 0:
		f.Kind = Reset
	}
	f.For = model.Duration(lasts[f.Kind].draw(r))
	return f
}

// add takes a fault in, and with the cut of a target the lapse of its entry.
func (s *Schedule) add(f Fault, over time.Duration) {
	f.For = min(f.For, model.Duration(over)-f.At)
	if f.For <= 0 {
		return
	}
	s.Faults = append(s.Faults, f)
	if f.Kind == Cut && f.For > model.Duration(entryLife) && slices.Contains(targetNames(), f.What) {
		s.Faults = append(s.Faults, Fault{At: f.At + model.Duration(entryLife), Kind: Lapse, What: f.What, For: f.For - model.Duration(entryLife)})
	}
}
