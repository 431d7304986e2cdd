package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockquay/internal/problem"
)

// Histogram range: 1 µs to 2 minutes, with three significant digits.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	digits         = 3
)

// outcome is the result of one request for its caller.
type outcome struct {
	call
	took     time.Duration
	ran      problem.Ran
	status   int
	servedBy string
	// intact is set if the body is complete and belongs to the request.
	intact bool
	// err is set if the request got no HTTP answer.
	err error
}

func (o *outcome) answered() bool { return o.err == nil && o.ran == problem.RanYes && o.intact }

// tally collects one workload's outcomes. It is safe for concurrent use.
type tally struct {
	workload *Workload

	mu       sync.Mutex
	outcomes []outcome
}

func newTally(w *Workload) *tally { return &tally{workload: w} }

func (t *tally) record(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

// result summarises the outcomes.
func (t *tally) result(slowAfter time.Duration) WorkloadResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := WorkloadResult{Customer: t.workload.Customer, Service: t.workload.Service, Unchecked: t.workload.Unchecked}
	latency, refusals := newHistogram(), newHistogram()
	for i := range t.outcomes {
		o := &t.outcomes[i]
		r.add(o)
		switch {
		case o.answered():
			_ = latency.RecordValue(o.took.Microseconds())
		case o.err == nil && o.ran == problem.RanNo:
			_ = refusals.RecordValue(o.took.Microseconds())
		}
	}
	r.P50, r.P99, r.P999 = quantile(latency, 50), quantile(latency, 99), quantile(latency, 99.9)
	r.RefusedP99 = quantile(refusals, 99)
	if t.workload.Keys > 0 {
		r.Keys = keyStats(t.outcomes, slowAfter)
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// add counts one outcome.
func (r *WorkloadResult) add(o *outcome) {
	r.Sent++
	switch {
	case o.err != nil:
		r.Lost++
		if r.FirstLoss == "" {
			r.FirstLoss = o.err.Error()
		}
		return
	case o.ran == problem.RanYes && o.intact:
		r.Answered++
		return
	case o.ran == problem.RanYes:
		r.Broken++
	case o.ran == problem.RanNo:
		r.Refused++
	default:
		r.Unknown++
	}
	r.count(o.status)
}

func (r *WorkloadResult) count(status int) {
	for i := range r.Statuses {
		if r.Statuses[i].Status == status {
			r.Statuses[i].Count++
			return
		}
	}
	r.Statuses = append(r.Statuses, StatusCount{status, 1})
}
