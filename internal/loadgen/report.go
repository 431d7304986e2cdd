package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockquay/internal/standin"
)

// Histogram bounds: 1 µs to 2 minutes, three digits.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	digits         = 3
)

// Report is what callers received.
type Report struct {
	Seconds   float64          `json:"seconds"`
	Workloads []WorkloadResult `json:"workloads"`
	// RefusedYetRan counts requests refused with ran: no that a target ran.
	RefusedYetRan int `json:"refusedYetRan"`
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int `json:"ranTwice"`
}

// WorkloadResult is one workload's outcome.
type WorkloadResult struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Broken counts answers that were not whole or not the request's own.
	Broken  int `json:"broken"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Lost counts requests that got no HTTP answer.
	Lost int `json:"lost"`
	// Latencies of answered requests, milliseconds from the planned time.
	P50  float64 `json:"p50ms"`
	P99  float64 `json:"p99ms"`
	P999 float64 `json:"p999ms"`
	// RefusedP99 is how long refusals took, milliseconds.
	RefusedP99 float64 `json:"refusedP99ms"`
	// Statuses counts refusals and losses by status code.
	Statuses []StatusCount `json:"statuses,omitempty"`
	// FirstLoss is the first lost request's error.
	FirstLoss string `json:"firstLoss,omitempty"`

	refusedIDs, allIDs []string
	idempotent         bool
}

// StatusCount counts answers of one status code.
type StatusCount struct {
	Status int `json:"status"`
	Count  int `json:"count"`
}

// tally collects one workload's outcomes. It is safe for concurrent use.
type tally struct {
	workload *Workload

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	r        WorkloadResult
}

func newTally(w *Workload) *tally {
	t := &tally{
		workload: w,
		latency:  hdrhistogram.New(lowestLatency, highestLatency, digits),
		refusals: hdrhistogram.New(lowestLatency, highestLatency, digits),
	}
	t.r.Customer, t.r.Service = w.Customer, w.Service
	t.r.idempotent = w.Method != http.MethodPost
	return t
}

func (t *tally) note(id string, do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Sent++
	t.r.allIDs = append(t.r.allIDs, id)
	do()
}

func (t *tally) answered(id string, took time.Duration, whole bool) {
	t.note(id, func() {
		if !whole {
			t.r.Broken++
			return
		}
		t.r.Answered++
		_ = t.latency.RecordValue(took.Microseconds())
	})
}

func (t *tally) refused(id string, took time.Duration, status int) {
	t.note(id, func() {
		t.r.Refused++
		t.r.refusedIDs = append(t.r.refusedIDs, id)
		t.count(status)
		_ = t.refusals.RecordValue(took.Microseconds())
	})
}

func (t *tally) unknown(id string, _ time.Duration, status int) {
	t.note(id, func() {
		t.r.Unknown++
		t.count(status)
	})
}

func (t *tally) lost(id string, err error) {
	t.note(id, func() {
		t.r.Lost++
		if t.r.FirstLoss == "" {
			t.r.FirstLoss = err.Error()
		}
	})
}

func (t *tally) count(status int) {
	for i := range t.r.Statuses {
		if t.r.Statuses[i].Status == status {
			t.r.Statuses[i].Count++
			return
		}
	}
	t.r.Statuses = append(t.r.Statuses, StatusCount{status, 1})
}

func (t *tally) result() WorkloadResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.r
	r.P50, r.P99, r.P999 = quantile(t.latency, 50), quantile(t.latency, 99), quantile(t.latency, 99.9)
	r.RefusedP99 = quantile(t.refusals, 99)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// verify asks the stand-in's ledger what really ran.
func (r *runner) verify(report *Report) error {
	if r.experiment.Standin == "" {
		return nil
	}
	for i := range report.Workloads {
		w := &report.Workloads[i]
		refused, err := r.runs(w.refusedIDs)
		if err != nil {
			return err
		}
		for _, n := range refused {
			if n > 0 {
				report.RefusedYetRan++
			}
		}
		if w.idempotent {
			continue
		}
		all, err := r.runs(w.allIDs)
		if err != nil {
			return err
		}
		for _, n := range all {
			if n > 1 {
				report.RanTwice++
			}
		}
	}
	return nil
}

func (r *runner) runs(ids []string) ([]int, error) {
	text, err := json.Marshal(standin.RunsQuery{IDs: ids})
	if err != nil {
		return nil, fmt.Errorf("encode ledger query: %w", err)
	}
	resp, err := r.http.Post(r.experiment.Standin+"/ledger/runs", "application/json", bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("ask the ledger: %w", err)
	}
	defer resp.Body.Close()
	var reply standin.RunsReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, fmt.Errorf("read the ledger: %w", err)
	}
	return reply.Runs, nil
}

// Sound tells whether every promise to callers was kept.
func (r *Report) Sound() bool {
	for _, w := range r.Workloads {
		if w.Broken > 0 || w.Lost > 0 {
			return false
		}
	}
	return r.RefusedYetRan == 0 && r.RanTwice == 0
}

// Complete tells whether the report is sound and every request was answered.
func (r *Report) Complete() bool {
	for _, w := range r.Workloads {
		if w.Answered != w.Sent || w.Sent == 0 {
			return false
		}
	}
	return r.Sound()
}

// Text writes the report as a table.
func (r *Report) Text(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tcustomer\tsent\tanswered\trefused (no)\tunknown\tbroken\tlost\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, w := range r.Workloads {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n",
			w.Service, w.Customer, w.Sent, w.Answered, w.Refused, w.Unknown, w.Broken, w.Lost, w.P50, w.P99, w.P999)
	}
	t.Flush()
	fmt.Fprintf(out, "refused as not run, yet run: %d; non-idempotent, run twice: %d\n", r.RefusedYetRan, r.RanTwice)
}
