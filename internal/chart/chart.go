// Package chart draws series by second.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a chart.
const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Line is one series, with a value for each second.
type Line struct {
	Name   string
	Values []float64
}

// Chart is series over the same seconds.
type Chart struct {
	Title string
	// Unit is that of the values.
	Unit  string
	Lines []Line
	// Marks says that each value is marked on its line.
	Marks bool
	// LegendTop says that the legend stands at the top.
	LegendTop bool
}

// Save draws the chart into a file whose ending names the format.
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
		return fmt.Errorf("plot %s: %w", file, err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
