package report

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/bench/fit"
)

// WriteTable writes the figures for people; without any it writes nothing.
func (r *Result) WriteTable(w io.Writer) {
	if len(r.Rows) == 0 {
		return
	}
	t := newTable(w, r.Experiment)
	t.AppendHeader(table.Row{"scenario", "size", "figure", "median", "min", "max", "unit", "runs"})
	for _, s := range r.Summaries() {
		t.AppendRow(table.Row{
			s.Key.Scenario, sizeText(s.Key.SizeName, s.Key.Size), s.Key.Metric,
			number(s.Median), number(s.Min), number(s.Max), s.Unit, s.Runs,
		})
	}
	t.Render()
}

// WriteFits writes, for every figure with enough sizes, the line through all
// sizes but the largest and what it foretells there. Without such a figure it
// writes nothing.
func (r *Result) WriteFits(w io.Writer) {
	t := newTable(w, r.Experiment+": lines")
	t.AppendHeader(table.Row{"scenario", "figure", "unit", "slope", "intercept", "spread", "R2", "left out", "foretold", "measured", "error"})
	for _, s := range r.Series() {
		f, err := fit.Check(s.Points)
		if err != nil {
			continue
		}
		t.AppendRow(table.Row{
			s.Scenario, s.Metric, s.Unit, number(f.Line.Slope), number(f.Line.Intercept),
			percent(f.Line.Spread), number(f.Line.R2), sizeText(s.SizeName, f.Size),
			number(f.Foretold), number(f.Measured), percent(f.Error),
		})
	}
	if t.Length() > 0 {
		t.Render()
	}
}

func newTable(w io.Writer, title string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetTitle("%s", title)
	t.SetStyle(table.StyleLight)
	return t
}

func sizeText(name string, size float64) string { return fmt.Sprintf("%s=%.0f", name, size) }

func number(v float64) string { return fmt.Sprintf("%.4g", v) }

func percent(v float64) string { return fmt.Sprintf("%+.1f%%", v*100) }
