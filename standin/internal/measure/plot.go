package measure

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot is a line plot.
type Plot struct {
	Title string
	// X and Y are the labels of the axes, with units.
	X, Y  string
	Lines []Line
}

// Line is a named line of a plot.
type Line struct {
	Name   string
	Points []Point
}

// Point is a point of a line.
type Point struct {
	X, Y float64
}

// save writes the plot to a file in the format given by its extension.
func (p Plot) save(file string) error {
	g := plot.New()
	g.Title.Text = p.Title
	g.X.Label.Text = p.X
	g.Y.Label.Text = p.Y
	g.Legend.Top = true
	var args []any
	for _, l := range p.Lines {
		var xs plotter.XYs
		for _, q := range l.Points {
			xs = append(xs, plotter.XY{X: q.X, Y: q.Y})
		}
		args = append(args, l.Name, xs)
	}
	if err := plotutil.AddLines(g, args...); err != nil {
		return fmt.Errorf("measure: plot: %w", err)
	}
	if err := g.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("measure: plot: %w", err)
	}
	return nil
}
