// Package chart draws line charts of time series with one value a second.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart image.
const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Line is one time series, with a value for each second.
type Line struct {
	Name   string
	Values []float64
}

// Chart is a line chart of time series that begin at the same second.
type Chart struct {
	Title string
	// Unit is the unit of the values.
	Unit  string
	Lines []Line
	// Marks draws a marker at each value.
	Marks bool
	// LegendTop puts the legend at the top.
	LegendTop bool
}

// Save writes the chart to a file, in the image format of its extension.
func (c *Chart) Save(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, "s", c.Unit
	p.Legend.Top = c.LegendTop
	p.Y.Min = 0
	var lines []any
	for _, l := range c.Lines {
		points := make(plotter.XYs, len(l.Values))
		for i, v := range l.Values {
			points[i].X, points[i].Y = float64(i), v
		}
		lines = append(lines, l.Name, points)
	}
	add := plotutil.AddLines
	if c.Marks {
		add = plotutil.AddLinePoints
	}
	if err := add(p, lines...); err != nil {
		return fmt.Errorf("draw chart %s: %w", file, err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("save chart %s: %w", file, err)
	}
	return nil
}
