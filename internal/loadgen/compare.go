package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// ReadReport reads a report that WriteReport wrote.
func ReadReport(file string) (*Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("read report %s: %w", file, err)
	}
	return &r, nil
}

// WriteReport writes a report as JSON.
func WriteReport(file string, r *Report) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// metric is one value of a workload in two reports.
type metric struct {
	name          string
	before, after float64
}

// Compare writes a table of the metrics of the workloads that both reports have.
func Compare(out io.Writer, before, after *Report) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tcustomer\tfigure\tbefore\tafter\tafter/before\t")
	for i := range before.Workloads {
		b := &before.Workloads[i]
		a := after.find(b.Service, b.Customer)
		if a == nil {
			continue
		}
		for _, f := range metrics(b, a) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.2f\t%s\t\n", b.Service, b.Customer, f.name, f.before, f.after, ratio(f))
		}
	}
	t.Flush()
}

func (r *Report) find(service, customer string) *WorkloadResult {
	for i := range r.Workloads {
		if w := &r.Workloads[i]; w.Service == service && w.Customer == customer {
			return w
		}
	}
	return nil
}

func metrics(b, a *WorkloadResult) []metric {
	out := []metric{
		{"answered/sent", fraction(b.Answered, b.Sent), fraction(a.Answered, a.Sent)},
		{"refused/sent", fraction(b.Refused, b.Sent), fraction(a.Refused, a.Sent)},
		{"unknown/sent", fraction(b.Unknown+b.Lost, b.Sent), fraction(a.Unknown+a.Lost, a.Sent)},
		{"p50 ms", b.P50, a.P50},
		{"p99 ms", b.P99, a.P99},
		{"refused p99 ms", b.RefusedP99, a.RefusedP99},
	}
	if b.Keys != nil && a.Keys != nil {
		out = append(out,
			metric{"unavailable worst ms", b.Keys.Worst, a.Keys.Worst},
			metric{"moves", float64(b.Keys.Moves), float64(a.Keys.Moves)},
			metric{"imbalance", b.Keys.Imbalance, a.Keys.Imbalance})
	}
	return out
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func ratio(f metric) string {
	if f.before == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", f.after/f.before)
}
