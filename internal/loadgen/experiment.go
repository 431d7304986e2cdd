// Package loadgen offers load to entries at planned times and reports what
// callers received.
//
// Arrivals are open-loop: a slow answer delays no later request, and the latency
// counts from the planned time, so a stall shows in full.
package loadgen

import (
	"fmt"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Experiment is a load and where it goes.
type Experiment struct {
	// Entries are base URLs of entries; requests go to them in turn.
	Entries []string `json:"entries"`
	// Standin is the base URL of the stand-in's admin port, for the check of
	// what ran. "" skips the check.
	Standin string `json:"standin,omitempty"`
	// Duration is how long requests are sent. Default 20s.
	Duration model.Duration `json:"duration,omitempty"`
	// Seed makes arrivals and keys repeatable. Default 1.
	Seed      uint64     `json:"seed,omitempty"`
	Workloads []Workload `json:"workloads"`
}

// Workload is one stream of requests of a customer to a service.
type Workload struct {
	Customer string `json:"customer,omitempty"`
	Token    string `json:"token,omitempty"`
	Service  string `json:"service"`
	// Rate is the mean number of requests per second, with Poisson arrivals.
	Rate float64 `json:"rate"`
	// Keys is how many keys there are; 0 sends none.
	Keys int `json:"keys,omitempty"`
	// Zipf is the exponent of the keys' popularity, above 1; 0 is uniform.
	Zipf float64 `json:"zipf,omitempty"`
	// Method is GET or POST. Default GET.
	Method string `json:"method,omitempty"`
	// Deadline is the caller's patience. Default 2s.
	Deadline model.Duration `json:"deadline,omitempty"`
	// AnswerBytes is the size of the answers. Default 256.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// BodyBytes is the size of the request bodies.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

const (
	defaultDuration    = model.Duration(20 * time.Second)
	defaultDeadline    = model.Duration(2 * time.Second)
	defaultAnswerBytes = 256
	defaultMethod      = "GET"
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
	if len(e.Entries) == 0 {
		return settings.Impossible("/entries", "empty")
	}
	for i := range e.Workloads {
		if err := e.Workloads[i].check(fmt.Sprintf("/workloads/%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (w *Workload) check(at string) error {
	if w.Deadline == 0 {
		w.Deadline = defaultDeadline
	}
	if w.AnswerBytes == 0 {
		w.AnswerBytes = defaultAnswerBytes
	}
	if w.Method == "" {
		w.Method = defaultMethod
	}
	switch {
	case w.Service == "":
		return settings.Impossible(at+"/service", "empty")
	case !(w.Rate > 0):
		return settings.Impossible(at+"/rate", "%v is not above 0", w.Rate)
	case w.Zipf != 0 && w.Zipf <= 1:
		return settings.Impossible(at+"/zipf", "%v is not above 1", w.Zipf)
	}
	return nil
}
