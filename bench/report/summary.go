package report

import (
	"cmp"
	"slices"

	"github.com/yuccaroute/yuccaroute/bench/fit"
)

// Key names one figure over all its repetitions.
type Key struct {
	Scenario string  `json:"scenario"`
	SizeName string  `json:"size_name"`
	Size     float64 `json:"size"`
	Metric   string  `json:"metric"`
}

// Summary is one figure over its repetitions.
type Summary struct {
	Key    Key     `json:"key"`
	Unit   string  `json:"unit"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Summaries returns all figures, in the order in which they were measured.
func (r *Result) Summaries() []Summary {
	values := make(map[Key][]float64)
	units := make(map[Key]string)
	var order []Key
	for _, row := range r.Rows {
		for _, metric := range row.Metrics {
			key := Key{row.Scenario, row.SizeName, row.Size, metric.Name}
			if values[key] == nil {
				order = append(order, key)
			}
			values[key] = append(values[key], metric.Value)
			units[key] = metric.Unit
		}
	}
	summaries := make([]Summary, 0, len(order))
	for _, key := range order {
		summaries = append(summaries, summarize(key, units[key], values[key]))
	}
	return summaries
}

func summarize(key Key, unit string, values []float64) Summary {
	slices.Sort(values)
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return Summary{
		Key: key, Unit: unit, Median: median,
		Min: values[0], Max: values[len(values)-1], Runs: len(values),
	}
}

// Series is one figure by size.
type Series struct {
	Scenario, SizeName, Metric, Unit string
	Points                           []fit.Point
}

// Series returns the medians of every figure by size, smallest size first.
func (r *Result) Series() []Series {
	var all []Series
	for _, s := range r.Summaries() {
		index := slices.IndexFunc(all, func(have Series) bool {
			return have.Scenario == s.Key.Scenario && have.Metric == s.Key.Metric
		})
		if index < 0 {
			index = len(all)
			all = append(all, Series{Scenario: s.Key.Scenario, SizeName: s.Key.SizeName, Metric: s.Key.Metric, Unit: s.Unit})
		}
		all[index].Points = append(all[index].Points, fit.Point{Size: s.Key.Size, Value: s.Median})
	}
	for _, series := range all {
		slices.SortFunc(series.Points, func(a, b fit.Point) int { return cmp.Compare(a.Size, b.Size) })
	}
	return all
}
