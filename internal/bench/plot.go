package bench

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotColumns = 2
	plotWidth   = 14 * vg.Centimeter
	plotHeight  = 7 * vg.Centimeter
	barWidth    = 14 * vg.Millimeter
	// labelSize is small enough for the names of five policies side by side.
	labelSize = vg.Length(8)
)

// Plot writes one SVG file for each result into dir and returns their paths. A file has a
// bar chart for each figure name with one bar per policy.
func Plot(dir string, results []Result) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Annotate(err, "create directory of plots")
	}
	var paths []string
	for _, r := range results {
		if len(r.Figures) == 0 {
			continue
		}
		path := filepath.Join(dir, r.Measure+".svg")
		if err := plotResult(path, r); err != nil {
			return paths, errors.Annotatef(err, "plot measure %s", r.Measure)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func plotResult(path string, r Result) error {
	var names []string
	figures := map[string][]Figure{}
	for _, f := range r.Figures {
		if figures[f.Name] == nil {
			names = append(names, f.Name)
		}
		figures[f.Name] = append(figures[f.Name], f)
	}
	rows := (len(names) + plotColumns - 1) / plotColumns
	charts := make([][]*plot.Plot, rows)
	for i := range charts {
		charts[i] = make([]*plot.Plot, plotColumns)
	}
	for i, name := range names {
		chart, err := barChart(name, figures[name])
		if err != nil {
			return err
		}
		charts[i/plotColumns][i%plotColumns] = chart
	}
	canvas := vgsvg.New(plotColumns*plotWidth, vg.Length(rows)*plotHeight)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: vg.Centimeter, PadY: vg.Centimeter, PadRight: vg.Centimeter, PadTop: vg.Centimeter}
	for row, canvases := range plot.Align(charts, tiles, draw.New(canvas)) {
		for column, c := range canvases {
			if chart := charts[row][column]; chart != nil {
				chart.Draw(c)
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close() // The error of WriteTo is returned.
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}

func barChart(name string, figures []Figure) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = name
	chart.Y.Label.Text = figures[0].Unit
	chart.Y.Min = 0
	var values plotter.Values
	var labels []string
	for _, f := range figures {
		values = append(values, f.Value)
		labels = append(labels, f.Policy)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, errors.Annotatef(err, "figure %s", name)
	}
	bars.Color = color.Gray{Y: 128}
	chart.Add(bars)
	chart.NominalX(labels...)
	chart.X.Tick.Label.Font.Size = labelSize
	// Half a bar's distance on each side keeps the outer bars inside the chart.
	chart.X.Min, chart.X.Max = -0.5, float64(len(labels))-0.5
	return chart, nil
}
