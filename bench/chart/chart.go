// Package chart draws the figures of a result by size, with the fitted line
// and the size that was left out of the fit.
package chart

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/yuccaroute/yuccaroute/bench/fit"
	"github.com/yuccaroute/yuccaroute/bench/report"
)

// Size of a chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// WriteAll writes one PNG file for each figure with at least two sizes into
// the directory and returns the names of the files.
func WriteAll(result *report.Result, directory string) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, errors.Wrap(err, "make directory for charts")
	}
	var names []string
	for _, series := range result.Series() {
		if len(series.Points) < 2 {
			continue
		}
		name := filepath.Join(directory, fileName(series))
		if err := write(series, name); err != nil {
			return names, errors.Wrapf(err, "chart %s", name)
		}
		names = append(names, name)
	}
	return names, nil
}

func fileName(s report.Series) string {
	return strings.ReplaceAll(s.Scenario+"-"+s.Metric, " ", "-") + ".png"
}

func write(series report.Series, name string) error {
	p := plot.New()
	p.Title.Text = series.Scenario + ": " + series.Metric
	p.X.Label.Text = series.SizeName
	p.Y.Label.Text = series.Unit
	p.X.Min, p.Y.Min = 0, 0
	points, err := plotter.NewScatter(xys(series.Points))
	if err != nil {
		return errors.Wrap(err, "points")
	}
	points.Shape = draw.CircleGlyph{}
	p.Add(plotter.NewGrid(), points)
	p.Legend.Add("measured", points)
	if forecast, err := fit.Check(series.Points); err == nil {
		addLine(p, forecast)
	}
	return p.Save(width, height, name)
}

func addLine(p *plot.Plot, f *fit.Forecast) {
	line := plotter.NewFunction(f.Line.At)
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(fmt.Sprintf("line without the largest size, error there %+.0f%%", f.Error*100), line)
}

func xys(points []fit.Point) plotter.XYs {
	all := make(plotter.XYs, len(points))
	for i, point := range points {
		all[i].X, all[i].Y = point.Size, point.Value
	}
	return all
}
