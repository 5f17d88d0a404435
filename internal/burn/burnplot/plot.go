// Package burnplot draws the report on service-level burn.
package burnplot

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"moorrun.dev/moorrun/internal/burn"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Length(12)
)

// Plot draws the report's burn rates to a file, as one group of bars per service with one bar per window. The file name
// extension selects the format: .svg, .png or .pdf.
func Plot(r burn.Report, file string) error {
	p := plot.New()
	p.Title.Text = "Service-level burn"
	p.Y.Label.Text = "error budget spent, 1 is just in time"
	p.Y.Min = 0
	p.Legend.Top = true
	names := make([]string, len(r.Services))
	for i, s := range r.Services {
		names[i] = s.Workspace + "/" + s.Service
	}
	for i, w := range burn.Windows {
		values := make(plotter.Values, len(r.Services))
		for j, s := range r.Services {
			values[j] = s.Burn[i].Rate
		}
		if len(values) == 0 {
			break
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(burn.Windows)-1)/2)
		bars.Color = barColors[i%len(barColors)]
		p.Add(bars)
		p.Legend.Add(w.Name, bars)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	return p.Save(plotWidth, plotHeight, file)
}
