package ctl

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockquay/internal/chart"
)

// RequestSummary counts the requests in collected logs by outcome, with the reasons that
// the daemons logged and the times, routes, targets and keys concerned.
type RequestSummary struct {
	// From is the time of the first logged request, truncated to a second.
	// Outcome.Seconds counts from it.
	From     time.Time `json:"from"`
	Requests int       `json:"requests"`
	// Outcomes are sorted by number of requests, the most frequent first.
	Outcomes []*Outcome `json:"outcomes"`
	Overload *Overload  `json:"overload"`
	// Skipped counts the input lines that are not log lines of a daemon.
	Skipped int `json:"skipped"`
}

// Outcome summarises the requests with the same status and reason.
type Outcome struct {
	// Status is the HTTP status that the caller got, 0 if it had disconnected.
	Status   int    `json:"status"`
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
	// Took is the time from the receipt of a request's headers to its end.
	Took Quantiles `json:"took"`
	// Routes, Targets and Keys are the most frequent ones. A request counts for the
	// target whose state led to its refusal, else for the last one it was sent to.
	Routes  []NameCount `json:"routes"`
	Targets []NameCount `json:"targets,omitempty"`
	Keys    []NameCount `json:"keys,omitempty"`
	// Seconds holds the number of requests in each second from RequestSummary.From on.
	Seconds []int `json:"seconds"`
}

// NameCount is how many of an outcome's requests concern a route, target or key.
type NameCount struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

const (
	// maxNamesShown limits the routes, targets and keys that are listed for an outcome.
	maxNamesShown = 3
	// maxOutcomesShown limits the outcomes in a plot and in the table by second.
	maxOutcomesShown = 7
	// maxTookMicros is the upper bound of the histogram of request times, in
	// microseconds, and tookSignificantDigits its precision.
	maxTookMicros         = int64(time.Minute / time.Microsecond)
	tookSignificantDigits = 2
)

// SummariseRequests reads collected logs and summarises the lines about requests.
func SummariseRequests(files []string) (*RequestSummary, error) {
	all, skipped, err := readLogs(files)
	if err != nil {
		return nil, err
	}
	s := summaryBuilder{outcomes: make(map[outcomeKey]*outcomeBuilder), targets: make(trafficByTarget)}
	for _, l := range all {
		if l.Step == requestStep {
			s.add(l)
			s.targets.add(l)
		}
	}
	return s.summary(skipped), nil
}

type outcomeKey struct {
	status int
	reason string
}

// summaryBuilder summarises lines about requests, which must be added in order of time.
type summaryBuilder struct {
	from     time.Time
	requests int
	outcomes map[outcomeKey]*outcomeBuilder
	targets  trafficByTarget
}

type outcomeBuilder struct {
	Outcome
	took                  *hdrhistogram.Histogram
	routes, targets, keys map[string]int
}

func (s *summaryBuilder) add(l Line) {
	if s.requests == 0 {
		s.from = l.Time.Truncate(time.Second)
	}
	s.requests++
	status, _ := l.Fields["status"].(float64)
	key := outcomeKey{status: int(status), reason: asString(l.Fields["reason"])}
	o := s.outcomes[key]
	if o == nil {
		o = &outcomeBuilder{
			Outcome: Outcome{Status: key.status, Reason: key.reason}, took: hdrhistogram.New(1, maxTookMicros, tookSignificantDigits),
			routes: make(map[string]int), targets: make(map[string]int), keys: make(map[string]int),
		}
		s.outcomes[key] = o
	}
	o.add(l, int(l.Time.Sub(s.from)/time.Second))
}

func (o *outcomeBuilder) add(l Line, second int) {
	o.Requests++
	for len(o.Seconds) <= second {
		o.Seconds = append(o.Seconds, 0)
	}
	o.Seconds[second]++
	took, _ := l.Fields["took"].(float64)
	// A time above the histogram's upper bound counts as the bound.
	_ = o.took.RecordValue(min(int64(took*float64(time.Millisecond/time.Microsecond)), maxTookMicros))
	o.routes[asString(l.Fields["route"])]++
	if target := decidingTarget(l); target != "" {
		o.targets[target]++
	}
	if key, ok := l.Fields["key"].(float64); ok {
		o.keys[strconv.FormatFloat(key, 'f', -1, 64)]++
	}
}

// decidingTarget returns the target whose state led to the request's refusal, else the
// last one it was sent to, or "" if there is neither.
func decidingTarget(l Line) string {
	text := asString(l.Fields["refusedOn"])
	if attempts, ok := l.Fields["attempts"].([]any); ok && text == "" && len(attempts) > 0 {
		text = asString(attempts[len(attempts)-1])
	}
	target, _, _ := strings.Cut(text, " ")
	return target
}

func asString(v any) string {
	s, _ := v.(string)
	return s
}

func (s *summaryBuilder) summary(skipped int) *RequestSummary {
	out := &RequestSummary{From: s.from, Requests: s.requests, Overload: s.targets.summary(), Skipped: skipped}
	for _, o := range s.outcomes {
		ms := func(q float64) float64 { return float64(o.took.ValueAtQuantile(q)) / 1000 }
		o.Took = Quantiles{P50: ms(50), P99: ms(99), Max: ms(100)}
		o.Routes, o.Targets, o.Keys = mostFrequent(o.routes), mostFrequent(o.targets), mostFrequent(o.keys)
		out.Outcomes = append(out.Outcomes, &o.Outcome)
	}
	slices.SortFunc(out.Outcomes, func(a, b *Outcome) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// mostFrequent returns the maxNamesShown most frequent names.
func mostFrequent(counts map[string]int) []NameCount {
	var out []NameCount
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, NameCount{Name: name, Requests: counts[name]})
	}
	slices.SortStableFunc(out, func(a, b NameCount) int { return cmp.Compare(b.Requests, a.Requests) })
	return out[:min(len(out), maxNamesShown)]
}

// Write prints a table of the outcomes, a table of the requests by second and the
// overloaded targets.
func (l *RequestSummary) Write(w io.Writer) {
	fmt.Fprintf(w, "%d requests from %s\n", l.Requests, l.From.Format("15:04:05"))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STATUS\tREASON\tREQUESTS\tP50 MS\tP99 MS\tROUTES\tTARGETS\tKEYS")
	for _, o := range l.Outcomes {
		fmt.Fprintf(t, "%d\t%s\t%d\t%.1f\t%.1f\t%s\t%s\t%s\n", o.Status, o.Reason, o.Requests, o.Took.P50, o.Took.P99,
			formatCounts(o.Routes), formatCounts(o.Targets), formatCounts(o.Keys))
	}
	_ = t.Flush()
	l.writeSeconds(w)
	l.Overload.Write(w)
}

func formatCounts(list []NameCount) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = fmt.Sprintf("%s:%d", s.Name, s.Requests)
	}
	return strings.Join(parts, " ")
}

func (l *RequestSummary) writeSeconds(w io.Writer) {
	shown := l.Outcomes[:min(len(l.Outcomes), maxOutcomesShown)]
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nSECOND")
	for _, o := range shown {
		fmt.Fprintf(t, "\t%d %s", o.Status, o.Reason)
	}
	fmt.Fprintln(t, "\t")
	for second := range l.seconds() {
		fmt.Fprint(t, second)
		for _, o := range shown {
			fmt.Fprintf(t, "\t%d", o.requestsAt(second))
		}
		fmt.Fprintln(t, "\t")
	}
	_ = t.Flush()
}

// seconds returns the number of seconds that the logged requests span.
func (l *RequestSummary) seconds() int {
	n := 0
	for _, o := range l.Outcomes {
		n = max(n, len(o.Seconds))
	}
	return n
}

func (o *Outcome) requestsAt(second int) int {
	if second >= len(o.Seconds) {
		return 0
	}
	return o.Seconds[second]
}

var errNoRequests = errors.New("the logs contain no lines about requests")

// Plot draws the requests by second, with a curve for each of the most frequent outcomes.
// The extension of the file selects the format.
func (l *RequestSummary) Plot(file string) error {
	if l.Requests == 0 {
		return fmt.Errorf("plot %s: %w", file, errNoRequests)
	}
	c := chart.Chart{Title: "Requests by outcome", Unit: "requests", LegendTop: true}
	for _, o := range l.Outcomes[:min(len(l.Outcomes), maxOutcomesShown)] {
		values := make([]float64, l.seconds())
		for i := range values {
			values[i] = float64(o.requestsAt(i))
		}
		c.Lines = append(c.Lines, chart.Line{Name: fmt.Sprintf("%d %s", o.Status, o.Reason), Values: values})
	}
	return c.Save(file)
}
