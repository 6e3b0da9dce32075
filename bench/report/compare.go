package report

import (
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// RatioBound bounds a figure of a later result relative to an earlier one.
// Zero limits are not checked.
type RatioBound struct {
	Metric   string
	Min, Max float64
}

// Ratio compares one figure of two results by its medians.
type Ratio struct {
	Key     Key     `json:"key"`
	Unit    string  `json:"unit"`
	Earlier float64 `json:"earlier"`
	Later   float64 `json:"later"`
	// Ratio is later / earlier.
	Ratio float64 `json:"ratio"`
	// Outside tells that the ratio is outside the bound of its figure.
	Outside bool `json:"outside"`
}

// Comparison is the outcome of Compare.
type Comparison struct {
	Ratios []Ratio
	// Missing are figures of the earlier result that the later one lacks. They
	// have not been compared.
	Missing []Key
}

// Compare returns the ratios of all figures that both results have.
func Compare(earlier, later *Result, bounds []RatioBound) Comparison {
	after := make(map[Key]Summary)
	for _, s := range later.Summaries() {
		after[s.Key] = s
	}
	var c Comparison
	for _, before := range earlier.Summaries() {
		now, ok := after[before.Key]
		if !ok {
			c.Missing = append(c.Missing, before.Key)
			continue
		}
		if before.Median == 0 {
			continue
		}
		ratio := Ratio{
			Key: before.Key, Unit: before.Unit,
			Earlier: before.Median, Later: now.Median, Ratio: now.Median / before.Median,
		}
		ratio.Outside = outside(ratio, bounds)
		c.Ratios = append(c.Ratios, ratio)
	}
	return c
}

func outside(r Ratio, bounds []RatioBound) bool {
	for _, b := range bounds {
		if b.Metric != r.Key.Metric {
			continue
		}
		if (b.Max > 0 && r.Ratio > b.Max) || (b.Min > 0 && r.Ratio < b.Min) {
			return true
		}
	}
	return false
}

// Kept tells whether every ratio is within its bound and nothing is missing.
func (c Comparison) Kept() bool {
	for _, r := range c.Ratios {
		if r.Outside {
			return false
		}
	}
	return len(c.Missing) == 0
}

// WriteTable writes the comparison for people.
func (c Comparison) WriteTable(w io.Writer) {
	t := newTable(w, "later / earlier")
	t.AppendHeader(table.Row{"scenario", "size", "figure", "earlier", "later", "unit", "ratio", "bound"})
	for _, r := range c.Ratios {
		verdict := "kept"
		if r.Outside {
			verdict = "NOT KEPT"
		}
		t.AppendRow(table.Row{
			r.Key.Scenario, sizeText(r.Key.SizeName, r.Key.Size), r.Key.Metric,
			number(r.Earlier), number(r.Later), r.Unit, number(r.Ratio), verdict,
		})
	}
	for _, key := range c.Missing {
		t.AppendRow(table.Row{key.Scenario, sizeText(key.SizeName, key.Size), key.Metric, "", "", "", "", "NOT RUN"})
	}
	t.Render()
}
