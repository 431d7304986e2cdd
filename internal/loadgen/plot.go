package loadgen

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// line is one curve of a plot.
type line struct {
	name  string
	value func(*Second) float64
}

// chart is one plot of the series.
type chart struct {
	file, title, unit string
	lines             []line
}

var charts = []chart{
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

// Plot draws the report's series as SVG files into the directory.
func (r *Report) Plot(dir string) error {
	for _, c := range charts {
		if err := r.draw(dir, c); err != nil {
			return fmt.Errorf("plot %s: %w", c.file, err)
		}
	}
	return nil
}

func (r *Report) draw(dir string, c chart) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "s", c.unit
	p.Y.Min = 0
	var lines []any
	for _, l := range c.lines {
		points := make(plotter.XYs, len(r.Series))
		for i := range r.Series {
			points[i].X, points[i].Y = float64(i), l.value(&r.Series[i])
		}
		lines = append(lines, l.name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, c.file))
}
