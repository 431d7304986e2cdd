package loadgen

import (
	"path/filepath"

	"hemlockquay/internal/chart"
)

// line is one curve of a plot.
type line struct {
	name  string
	value func(*Second) float64
}

// plot describes one plot of a report's series.
type plot struct {
	file, title, unit string
	lines             []line
}

var plots = []plot{
	{"requests.svg", "Requests by planned second", "requests", []line{
		{"answered", func(s *Second) float64 { return float64(s.Answered) }},
		{"refused (no)", func(s *Second) float64 { return float64(s.Refused) }},
		{"unknown", func(s *Second) float64 { return float64(s.Unknown) }},
	}},
	{"latency.svg", "Latency of answers, p99", "ms", []line{{"p99", func(s *Second) float64 { return s.P99 }}}},
	{"imbalance.svg", "Imbalance of keyed targets", "highest / mean", []line{{"imbalance", func(s *Second) float64 { return s.Imbalance }}}},
	{"churn.svg", "Churn of key ownership", "keys moved", []line{{"moves", func(s *Second) float64 { return float64(s.Moves) }}}},
	{"unavailable.svg", "Keys with a failed or slow request", "keys", []line{{"keys", func(s *Second) float64 { return float64(s.UnavailableKeys) }}}},
}

// Plot writes the plots of the report's series to the directory as SVG files.
func (r *Report) Plot(dir string) error {
	for _, p := range plots {
		if err := r.draw(dir, p); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) draw(dir string, p plot) error {
	c := chart.Chart{Title: p.title, Unit: p.unit, Marks: true}
	for _, l := range p.lines {
		values := make([]float64, len(r.Series))
		for i := range r.Series {
			values[i] = l.value(&r.Series[i])
		}
		c.Lines = append(c.Lines, chart.Line{Name: l.name, Values: values})
	}
	return c.Save(filepath.Join(dir, p.file))
}
