package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/standin"
)

// Report is the result of an experiment.
type Report struct {
	Seconds   float64          `json:"seconds"`
	Workloads []WorkloadResult `json:"workloads"`
	// RefusedYetRan counts requests that were refused with "ran: no" although a target ran them.
	RefusedYetRan int `json:"refusedYetRan"`
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int `json:"ranTwice"`
	// Runs counts the runs of the load's requests at all targets. Divided by the
	// number of requests it is the retry amplification.
	Runs int `json:"runs"`
	// Series has the results of the experiment by second.
	Series []Second `json:"series"`
}

// WorkloadResult is the result of one workload.
type WorkloadResult struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Broken counts answers that were incomplete or belonged to another request.
	Broken  int `json:"broken"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Lost counts requests that got no HTTP answer.
	Lost int `json:"lost"`
	// Latency quantiles of answered requests, in milliseconds from the planned time.
	P50  float64 `json:"p50ms"`
	P99  float64 `json:"p99ms"`
	P999 float64 `json:"p999ms"`
	// RefusedP99 is the latency quantile of refusals, in milliseconds.
	RefusedP99 float64 `json:"refusedP99ms"`
	// Statuses counts refused, unknown and broken answers by status code.
	Statuses []StatusCount `json:"statuses,omitempty"`
	// FirstLoss is the error of the first lost request.
	FirstLoss string    `json:"firstLoss,omitempty"`
	Keys      *KeyStats `json:"keys,omitempty"`
	Unchecked bool      `json:"unchecked,omitempty"`
}

// StatusCount is the number of answers with a status code.
type StatusCount struct {
	Status int `json:"status"`
	Count  int `json:"count"`
}

func (r *runner) report() *Report {
	report := &Report{Seconds: r.experiment.Duration.D().Seconds()}
	for _, t := range r.tallies {
		report.Workloads = append(report.Workloads, t.result(r.experiment.SlowAfter.D()))
	}
	report.Series = series(r.tallies, r.experiment.SlowAfter.D())
	return report
}

// verify compares the outcomes with the runs that the stand-in's ledger recorded.
func (r *runner) verify(report *Report) error {
	if r.experiment.Standin == "" {
		return nil
	}
	for _, t := range r.tallies {
		ids := make([]string, len(t.outcomes))
		for i := range t.outcomes {
			ids[i] = t.outcomes[i].id
		}
		runs, err := r.runs(ids)
		if err != nil {
			return err
		}
		report.addRuns(t, runs)
	}
	return nil
}

func (r *Report) addRuns(t *tally, queryRuns []int) {
	for i, n := range queryRuns {
		o := &t.outcomes[i]
		r.Runs += n
		if t.workload.Unchecked {
			continue
		}
		if n > 0 && o.err == nil && o.ran == problem.RanNo {
			r.RefusedYetRan++
		}
		if n > 1 && t.workload.Method == http.MethodPost {
			r.RanTwice++
		}
	}
}

func (r *runner) runs(ids []string) ([]int, error) {
	text, err := json.Marshal(standin.RunsQuery{IDs: ids})
	if err != nil {
		return nil, fmt.Errorf("encode ledger query: %w", err)
	}
	resp, err := r.http.Post(r.experiment.Standin+"/ledger/runs", "application/json", bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("query the ledger: %w", err)
	}
	defer resp.Body.Close()
	var reply standin.RunsReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, fmt.Errorf("read the ledger: %w", err)
	}
	if len(reply.Runs) != len(ids) {
		return nil, fmt.Errorf("read the ledger: %d answers for %d requests", len(reply.Runs), len(ids))
	}
	return reply.Runs, nil
}

// GuaranteesKept reports whether every guarantee to callers was kept.
func (r *Report) GuaranteesKept() bool {
	for _, w := range r.Workloads {
		if !w.Unchecked && (w.Broken > 0 || w.Lost > 0) {
			return false
		}
	}
	return r.RefusedYetRan == 0 && r.RanTwice == 0
}

// Complete reports whether every guarantee was kept and every request was answered.
func (r *Report) Complete() bool {
	for _, w := range r.Workloads {
		if w.Answered != w.Sent || w.Sent == 0 {
			return false
		}
	}
	return r.GuaranteesKept()
}

// Text writes the report as tables.
func (r *Report) Text(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tcustomer\tsent\tanswered\trefused (no)\tunknown\tbroken\tlost\tp50 ms\tp99 ms\tp99.9 ms\trefused p99 ms\t")
	for _, w := range r.Workloads {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			w.Service, w.Customer, w.Sent, w.Answered, w.Refused, w.Unknown, w.Broken, w.Lost, w.P50, w.P99, w.P999, w.RefusedP99)
	}
	t.Flush()
	r.keysText(out)
	for _, w := range r.Workloads {
		if w.FirstLoss != "" {
			fmt.Fprintf(out, "%s %s: first lost request: %s\n", w.Service, w.Customer, w.FirstLoss)
		}
	}
	fmt.Fprintf(out, "refused as not run, yet run: %d; non-idempotent, run twice: %d; runs: %d\n", r.RefusedYetRan, r.RanTwice, r.Runs)
}

func (r *Report) keysText(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tcustomer\tkeys\tunavailable\tp50 ms\tworst ms\tmoves\timbalance\t")
	for _, w := range r.Workloads {
		if k := w.Keys; k != nil {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%.0f\t%d\t%.2f\t\n", w.Service, w.Customer, k.Keys, k.Unavailable, k.P50, k.Worst, k.Moves, k.Imbalance)
		}
	}
	t.Flush()
}
