// Package loadgen sends load to entries at planned times and reports the results
// for callers.
//
// Arrivals are open-loop: a slow answer delays no later request, and the latency
// counts from the planned time, so a stall shows in full (no coordinated
// omission).
package loadgen

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Experiment is a load, its destination, and the faults injected meanwhile.
type Experiment struct {
	// Entries are the base URLs of entries; requests go to them in turn. If an
	// experiment file leaves them out, they are taken from a plan.
	Entries []string `json:"entries,omitempty"`
	// Admins are the entries' admin IP:PORTs in the same order. The simulated
	// load balancer skips entries whose /readyz reports that they are not ready;
	// without Admins it sends to all.
	Admins []string `json:"admins,omitempty"`
	// Standin is the base URL of the stand-in's admin port, for faults and for
	// checking which requests ran. "" skips the check.
	Standin string `json:"standin,omitempty"`
	// Duration is how long requests are sent. Default 20s.
	Duration model.Duration `json:"duration,omitempty"`
	// Seed makes arrivals and keys repeatable. Default 1.
	Seed uint64 `json:"seed,omitempty"`
	// SlowAfter is the latency of a request from which its key counts as unavailable.
	// Default 100ms.
	SlowAfter model.Duration `json:"slowAfter,omitempty"`
	Workloads []Workload     `json:"workloads"`
	// Faults lists the faults to inject, in order of time.
	Faults []Fault `json:"faults,omitempty"`
}

// Workload is a sequence of requests of a customer to a service.
type Workload struct {
	Customer string `json:"customer,omitempty"`
	Token    string `json:"token,omitempty"`
	Service  string `json:"service"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Arrivals is poisson, even or bursts. Default poisson.
	Arrivals Arrivals `json:"arrivals,omitempty"`
	// BurstEvery is the interval between two bursts. Default 1s.
	BurstEvery model.Duration `json:"burstEvery,omitempty"`
	// Schedule names a file of planned times, seconds from the start, one a
	// line; it replaces Rate and Arrivals.
	Schedule string `json:"schedule,omitempty"`
	// Start and Stop limit the workload to a part of the experiment. Stop 0 is its end.
	Start model.Duration `json:"start,omitempty"`
	Stop  model.Duration `json:"stop,omitempty"`
	// Keys is how many keys there are; 0 sends none.
	Keys int `json:"keys,omitempty"`
	// Zipf is the exponent of the keys' popularity, above 1; 0 is uniform.
	Zipf float64 `json:"zipf,omitempty"`
	// HotShare of the requests go to one key that changes every HotEvery.
	HotShare float64        `json:"hotShare,omitempty"`
	HotEvery model.Duration `json:"hotEvery,omitempty"`
	// Method is GET or POST. Default GET.
	Method string `json:"method,omitempty"`
	// Deadline is the time that the caller allows for a request. Default 2s.
	Deadline model.Duration `json:"deadline,omitempty"`
	// AnswerBytes is the size of the answers. Default 256.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// BodyBytes is the size of the request bodies.
	BodyBytes int `json:"bodyBytes,omitempty"`
	// WorkUS is the service time, microseconds; 0 leaves it to the target.
	WorkUS int `json:"workUs,omitempty"`
	// One in LongOneIn requests takes LongWorkUS instead.
	LongOneIn  int `json:"longOneIn,omitempty"`
	LongWorkUS int `json:"longWorkUs,omitempty"`
	// CrashOneIn makes one in this many requests crash the target that runs it.
	CrashOneIn int `json:"crashOneIn,omitempty"`
	// IdempotencyKeys is how many Idempotency-Key values are used in turn; 0
	// sends none.
	IdempotencyKeys int `json:"idempotencyKeys,omitempty"`
	// Direct sends directly to the service's targets, chosen at random, as a
	// baseline without this system; only for services without keys.
	Direct bool `json:"direct,omitempty"`
	// Unchecked excludes this workload from the check of the guarantees; for
	// baselines that give none.
	Unchecked bool `json:"unchecked,omitempty"`
}

// Arrivals is a pattern of planned times.
type Arrivals string

// The arrival patterns.
const (
	Poisson Arrivals = "poisson"
	Even    Arrivals = "even"
	Bursts  Arrivals = "bursts"
)

// Fault is one call of the stand-in's admin port at a planned time.
type Fault struct {
	At     model.Duration `json:"at"`
	Method string         `json:"method"`
	// Path is below the admin port, e.g. /targets/shelf-1/kill.
	Path string          `json:"path"`
	Body json.RawMessage `json:"body,omitempty"`
}

const (
	defaultDuration    = model.Duration(20 * time.Second)
	defaultDeadline    = model.Duration(2 * time.Second)
	defaultSlowAfter   = model.Duration(100 * time.Millisecond)
	defaultBurstEvery  = model.Duration(time.Second)
	defaultAnswerBytes = 256
	defaultSeed        = 1
)

// Check implements settings.Checker.
func (e *Experiment) Check() error {
	if e.Duration == 0 {
		e.Duration = defaultDuration
	}
	if e.Seed == 0 {
		e.Seed = defaultSeed
	}
	if e.SlowAfter == 0 {
		e.SlowAfter = defaultSlowAfter
	}
	if len(e.Admins) > 0 && len(e.Admins) != len(e.Entries) {
		return settings.Invalid("/admins", "%d admins for %d entries", len(e.Admins), len(e.Entries))
	}
	if e.Duration < 0 {
		return settings.Invalid("/duration", "%v is below 0", e.Duration)
	}
	for i := range e.Workloads {
		if err := e.Workloads[i].check(fmt.Sprintf("/workloads/%d", i)); err != nil {
			return err
		}
	}
	for i, f := range e.Faults {
		if f.Path == "" || f.Path[0] != '/' {
			return settings.Invalid(fmt.Sprintf("/faults/%d/path", i), "%q does not begin with /", f.Path)
		}
	}
	return nil
}

func (w *Workload) setDefaults() {
	if w.Deadline == 0 {
		w.Deadline = defaultDeadline
	}
	if w.AnswerBytes == 0 {
		w.AnswerBytes = defaultAnswerBytes
	}
	if w.Method == "" {
		w.Method = http.MethodGet
	}
	if w.Arrivals == "" {
		w.Arrivals = Poisson
	}
	if w.BurstEvery == 0 {
		w.BurstEvery = defaultBurstEvery
	}
}

func (w *Workload) check(at string) error {
	w.setDefaults()
	switch {
	case w.Service == "":
		return settings.Invalid(at+"/service", "empty")
	case !(w.Rate > 0) && w.Schedule == "":
		return settings.Invalid(at+"/rate", "%v is not above 0", w.Rate)
	case w.Zipf != 0 && w.Zipf <= 1:
		return settings.Invalid(at+"/zipf", "%v is not above 1", w.Zipf)
	case w.Arrivals != Poisson && w.Arrivals != Even && w.Arrivals != Bursts:
		return settings.Invalid(at+"/arrivals", "%q is none of poisson, even, bursts", w.Arrivals)
	case w.BurstEvery < 0:
		return settings.Invalid(at+"/burstEvery", "%v is below 0", w.BurstEvery)
	case w.HotShare < 0 || w.HotShare > 1:
		return settings.Invalid(at+"/hotShare", "%v is not between 0 and 1", w.HotShare)
	case w.Direct && w.Keys > 0:
		return settings.Invalid(at+"/direct", "targets serve keys only under a grant")
	case w.HotShare > 0 && (w.Keys == 0 || w.HotEvery <= 0):
		return settings.Invalid(at+"/hotShare", "needs keys and hotEvery")
	}
	return nil
}

// FillFrom sets fields that the experiment leaves out from the experiment of a planned run: the
// entries, the stand-in, and each workload's token by its customer.
func (e *Experiment) FillFrom(lab *Experiment) {
	if len(e.Entries) == 0 {
		e.Entries, e.Admins = lab.Entries, lab.Admins
	}
	if e.Standin == "" {
		e.Standin = lab.Standin
	}
	for i := range e.Workloads {
		w := &e.Workloads[i]
		for _, known := range lab.Workloads {
			if w.Token == "" && known.Customer == w.Customer {
				w.Token = known.Token
			}
		}
	}
}
