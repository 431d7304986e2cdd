package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Overload summarises the requests that were refused because of the load of a target. It
// estimates from the requests that all VMs together had in flight there whether the
// target could have served them.
//
// Requests without a log line, and those still running when the logs end, are not counted.
type Overload struct {
	// Targets are sorted by number of refusals, the most first.
	Targets []*TargetOverload `json:"targets"`
	// Unknown counts the refusals that cannot be judged: no line names the target's
	// slots, or there is no answer from which to estimate a service time.
	Unknown int `json:"unknown"`
}

// TargetOverload summarises the refusals because of the load of one target.
type TargetOverload struct {
	Target string `json:"target"`
	Slots  int    `json:"slots"`
	// ServiceMs is the mean time to answer a request that did not wait for a slot.
	ServiceMs float64 `json:"serviceMs"`
	// Refused counts the refusals, RefusedIdle those made while a slot was free.
	Refused     int `json:"refused"`
	RefusedIdle int `json:"refusedIdle"`
	// Demand is the ratio of the requests that arrived for the target, in the steps
	// with refusals, to the number that its slots can serve in that time.
	Demand float64 `json:"demand"`
	// Servable is an upper bound of the refused requests that the target's free slots
	// could have served.
	Servable float64 `json:"servable"`
}

const (
	// overloadStep is the length of the intervals for which demand and free slots are
	// calculated.
	overloadStep = 200 * time.Millisecond
	// samplesPerStep is how many times the free slots are sampled in a step.
	samplesPerStep = 5
	// minServiceSamples is the number of answers from which a target's own service time
	// is calculated. With fewer, the mean of all targets is used.
	minServiceSamples = 5
)

var (
	attemptPattern = regexp.MustCompile(`^(\S+) load (\d+) expected \d+ms took (\d+)ms (.*)$`)
	refusalPattern = regexp.MustCompile(`^(\S+) (?:own \d+ others \d+ likely \S+ slots (\d+)|part )`)
)

// targetTraffic holds the attempts at one target and its refusals, read from the lines
// about requests.
type targetTraffic struct {
	slots                   int
	started, ended, refused []time.Time
	answers                 []answerSample
}

// answerSample is the time that a target took to answer a request, and the load that the
// sending VM assumed there.
type answerSample struct {
	load int
	took time.Duration
}

// trafficByTarget collects the traffic of each target by name.
type trafficByTarget map[string]*targetTraffic

func (s trafficByTarget) target(name string) *targetTraffic {
	t := s[name]
	if t == nil {
		t = &targetTraffic{}
		s[name] = t
	}
	return t
}

// add records the attempts of a request and its refusal. Attempts are taken to follow each
// other without a pause, the last one ending with the request.
func (s trafficByTarget) add(l Line) {
	attempts, _ := l.Fields["attempts"].([]any)
	end := l.Time
	for _, a := range slices.Backward(attempts) {
		m := attemptPattern.FindStringSubmatch(asString(a))
		if m == nil {
			continue
		}
		load, _ := strconv.Atoi(m[2])
		ms, _ := strconv.Atoi(m[3])
		took := time.Duration(ms) * time.Millisecond
		t := s.target(m[1])
		t.started, t.ended = append(t.started, end.Add(-took)), append(t.ended, end)
		if m[4] == "200" {
			t.answers = append(t.answers, answerSample{load, took})
		}
		end = end.Add(-took)
	}
	if m := refusalPattern.FindStringSubmatch(asString(l.Fields["refusedOn"])); m != nil {
		t := s.target(m[1])
		t.refused = append(t.refused, l.Time)
		if slots, err := strconv.Atoi(m[2]); err == nil {
			t.slots = slots
		}
	}
}

func (s trafficByTarget) summary() *Overload {
	meanService := s.meanServiceTime()
	out := &Overload{}
	for _, name := range slices.Sorted(maps.Keys(s)) {
		t := s[name]
		switch {
		case len(t.refused) == 0:
		case t.slots == 0 || meanService == 0:
			out.Unknown += len(t.refused)
		default:
			out.Targets = append(out.Targets, t.summary(name, meanService))
		}
	}
	slices.SortStableFunc(out.Targets, func(a, b *TargetOverload) int { return cmp.Compare(b.Refused, a.Refused) })
	return out
}

// meanServiceTime returns the mean service time of all targets, 0 if no answer shows one.
func (s trafficByTarget) meanServiceTime() time.Duration {
	all := &targetTraffic{}
	for _, t := range s {
		all.answers = append(all.answers, t.unqueuedAnswers()...)
	}
	return meanDuration(all.answers)
}

// unqueuedAnswers returns the answers to requests for which a slot was free, according to
// the load that the sending VM assumed.
func (t *targetTraffic) unqueuedAnswers() []answerSample {
	slots := max(t.slots, 1)
	return slices.DeleteFunc(slices.Clone(t.answers), func(a answerSample) bool { return a.load >= slots })
}

func meanDuration(answers []answerSample) time.Duration {
	var sum time.Duration
	for _, a := range answers {
		sum += a.took
	}
	return sum / time.Duration(max(len(answers), 1))
}

func (t *targetTraffic) summary(name string, meanService time.Duration) *TargetOverload {
	for _, times := range [][]time.Time{t.started, t.ended, t.refused} {
		slices.SortFunc(times, time.Time.Compare)
	}
	service := meanService
	if answers := t.unqueuedAnswers(); len(answers) >= minServiceSamples {
		service = meanDuration(answers)
	}
	out := &TargetOverload{Target: name, Slots: t.slots, ServiceMs: float64(service) / float64(time.Millisecond), Refused: len(t.refused)}
	capacity := float64(t.slots) * float64(overloadStep) / float64(service)
	arrived, steps := 0, 0
	for i := 0; i < len(t.refused); {
		from := t.refused[i].Truncate(overloadStep)
		to := from.Add(overloadStep)
		refused := countBefore(t.refused, to) - i
		steps++
		arrived += refused + countBefore(t.started, to) - countBefore(t.started, from)
		out.Servable += min(float64(refused), t.meanFreeSlots(from)/float64(t.slots)*capacity)
		i += refused
	}
	out.Demand = float64(arrived) / (float64(steps) * capacity)
	for _, at := range t.refused {
		if t.inFlight(at) < t.slots {
			out.RefusedIdle++
		}
	}
	return out
}

// inFlight returns the number of requests of all VMs that the target was serving at a time.
func (t *targetTraffic) inFlight(at time.Time) int {
	return countBefore(t.started, at) - countBefore(t.ended, at)
}

// meanFreeSlots returns the mean number of free slots in the step that begins at from.
func (t *targetTraffic) meanFreeSlots(from time.Time) float64 {
	sum := 0
	for i := range samplesPerStep {
		at := from.Add(time.Duration(2*i+1) * overloadStep / (2 * samplesPerStep))
		sum += max(0, t.slots-t.inFlight(at))
	}
	return float64(sum) / samplesPerStep
}

// countBefore returns how many of the sorted times are before at.
func countBefore(sorted []time.Time, at time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, at, time.Time.Compare)
	return n
}

// maxTargetsShown limits the targets that Write lists.
const maxTargetsShown = 10

// Write prints a table of the targets with the most refusals and the totals of all
// targets.
func (o *Overload) Write(w io.Writer) {
	if len(o.Targets) == 0 {
		return
	}
	sum := &TargetOverload{}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nTARGET\tSLOTS\tSERVICE MS\tDEMAND/CAPACITY\tREFUSED\tWITH A FREE SLOT\tSERVABLE\t")
	for i, r := range o.Targets {
		sum.Refused, sum.RefusedIdle, sum.Servable = sum.Refused+r.Refused, sum.RefusedIdle+r.RefusedIdle, sum.Servable+r.Servable
		if i < maxTargetsShown {
			fmt.Fprintf(t, "%s\t%d\t%.0f\t%.1f\t%d\t%d\t%.0f\t\n", r.Target, r.Slots, r.ServiceMs, r.Demand, r.Refused, r.RefusedIdle, r.Servable)
		}
	}
	_ = t.Flush()
	fmt.Fprintf(w, "refused for the load of %d targets: %d, of them %d with a free slot there; at most %.0f could have been served\n",
		len(o.Targets), sum.Refused, sum.RefusedIdle, sum.Servable)
	if o.Unknown > 0 {
		fmt.Fprintf(w, "and %d at targets whose slots or service time are unknown\n", o.Unknown)
	}
}
