package daemon

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// TimerStats is a timer on /metrics. Percentiles cover the last few minutes: the
// library gives newer samples more weight.
type TimerStats struct {
	Count int64 `json:"count"`
	// PerSecond1m is the average rate over the last minute.
	PerSecond1m float64 `json:"perSecond1m"`
	MeanMs      float64 `json:"meanMs"`
	P50Ms       float64 `json:"p50Ms"`
	P90Ms       float64 `json:"p90Ms"`
	P99Ms       float64 `json:"p99Ms"`
	P999Ms      float64 `json:"p999Ms"`
	MaxMs       float64 `json:"maxMs"`
}

// MeterStats is a meter on /metrics.
type MeterStats struct {
	Count       int64   `json:"count"`
	PerSecond1m float64 `json:"perSecond1m"`
}

// metricValues returns the values of all metrics by name. Counters are {"count": n},
// gauges {"value": v}. Times are in milliseconds, and the names of their fields end in Ms.
func metricValues(registry metrics.Registry) map[string]any {
	out := make(map[string]any)
	for name, values := range registry.GetAll() {
		out[name] = values
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Timer:
			out[name] = timerStats(m.Snapshot())
		case metrics.Meter:
			out[name] = MeterStats{Count: m.Count(), PerSecond1m: m.Rate1()}
		}
	})
	return out
}

// metricsText renders all metrics as text, with one "NAME.FIELD VALUE" line for each field
// of each metric, sorted. The fields are those of metricValues.
func metricsText(registry metrics.Registry) string {
	var lines []string
	for name, values := range metricValues(registry) {
		for field, value := range fieldsByName(values) {
			lines = append(lines, fmt.Sprintf("%s.%s %v\n", strings.ReplaceAll(name, " ", "_"), field, value))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// fieldsByName returns the fields of one metric by their JSON names.
func fieldsByName(values any) map[string]any {
	var out map[string]any
	text, err := json.Marshal(values)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		// A gauge may hold a number that JSON cannot represent, such as NaN.
		return map[string]any{"error": err}
	}
	return out
}

func timerStats(t metrics.Timer) TimerStats {
	p := t.Percentiles([]float64{0.5, 0.9, 0.99, 0.999})
	return TimerStats{
		Count: t.Count(), PerSecond1m: t.Rate1(), MeanMs: milliseconds(t.Mean()),
		P50Ms: milliseconds(p[0]), P90Ms: milliseconds(p[1]), P99Ms: milliseconds(p[2]), P999Ms: milliseconds(p[3]),
		MaxMs: milliseconds(float64(t.Max())),
	}
}

func milliseconds(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }

// Parts of the names of a ring's metrics; see package ring.
const (
	ringPrefix   = "ring."
	ringDepth    = ".depth"
	ringDropped  = ".dropped"
	ringsSection = "rings"
)

// RingState is the state of one ring in the dump.
type RingState struct {
	// Depth is the number of queued entries, Dropped that of entries lost because the ring was full.
	Depth   int64 `json:"depth"`
	Dropped int64 `json:"dropped"`
}

// ringStates returns the state of all rings by name. It reads the registered metrics, so
// that no ring can be left out.
func ringStates(registry metrics.Registry) map[string]RingState {
	out := make(map[string]RingState)
	registry.Each(func(name string, metric any) {
		ring, ok := strings.CutPrefix(name, ringPrefix)
		if !ok {
			return
		}
		switch m := metric.(type) {
		case metrics.Gauge:
			ring = strings.TrimSuffix(ring, ringDepth)
			out[ring] = RingState{Depth: m.Value(), Dropped: out[ring].Dropped}
		case metrics.Counter:
			ring = strings.TrimSuffix(ring, ringDropped)
			out[ring] = RingState{Depth: out[ring].Depth, Dropped: m.Count()}
		}
	})
	return out
}
