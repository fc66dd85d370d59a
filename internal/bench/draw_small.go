package bench

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of the charts.
const (
	chartWidth  = 14 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
	chartBar    = 8 * vg.Millimeter
)

// Draw writes an SVG file for each measure: a bar chart for each figure, with a
// bar for each policy or size.
func (s SavedRun) Draw(dir string) error {
	for _, r := range s.Results {
		if err := drawResult(filepath.Join(dir, r.Measure+".svg"), r); err != nil {
			return errors.Annotatef(err, "draw measure %s", r.Measure)
		}
	}
	return nil
}

func drawResult(path string, r Result) error {
	var names []string
	grouped := map[string][]Figure{}
	for _, f := range r.Figures {
		if grouped[f.Name] == nil {
			names = append(names, f.Name)
		}
		grouped[f.Name] = append(grouped[f.Name], f)
	}
	if len(names) == 0 {
		return nil
	}
	canvas := vgsvg.New(chartWidth, vg.Length(len(names))*chartHeight)
	tiles := draw.Tiles{Rows: len(names), Cols: 1, PadY: vg.Centimeter}
	for row, name := range names {
		chart := plot.New()
		chart.Title.Text, chart.Y.Label.Text, chart.Y.Min = name, grouped[name][0].Unit, 0
		var values plotter.Values
		var labels []string
		for _, f := range grouped[name] {
			values, labels = append(values, f.Value), append(labels, f.Policy)
		}
		bars, err := plotter.NewBarChart(values, chartBar)
		if err != nil {
			return errors.Annotatef(err, "figure %s", name)
		}
		chart.Add(bars)
		chart.NominalX(labels...)
		chart.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = canvas.WriteTo(file)
	if closed := file.Close(); err == nil {
		err = closed
	}
	return errors.Trace(err)
}
