package bounds

import (
	"fmt"
	"io"
)

// Violation is one bound that a run did not keep.
type Violation struct {
	Bound Bound
	// What names the figure: "allocs/op", "B/op" or "ratio".
	What          string
	Measured, Max float64
}

// String returns one line for a report.
func (v Violation) String() string {
	text := fmt.Sprintf("%s: %s: %s is %.4g, at most %.4g", v.Bound.Module, v.Bound.Benchmark, v.What, v.Measured, v.Max)
	if v.What == whatRatio {
		text += " (to " + v.Bound.RatioTo + ")"
	}
	return text
}

const (
	whatAllocs = "allocs/op"
	whatBytes  = "B/op"
	whatRatio  = "ratio"
)

// Outcome is the result of a check.
type Outcome struct {
	Violations []Violation
	// NotRun lists bounds of benchmarks that the output does not hold, or
	// holds without the columns that the bound needs. They are not passed.
	NotRun []Bound
	// Checked counts the figures that were compared.
	Checked int
}

// Check returns the bounds that the output of go test -bench does not keep.
func Check(r io.Reader, bounds []Bound) ([]Violation, error) {
	outcome, err := CheckAll(r, bounds)
	if err != nil {
		return nil, err
	}
	return outcome.Violations, nil
}

// CheckAll also tells which bounds could not be checked.
func CheckAll(r io.Reader, bounds []Bound) (*Outcome, error) {
	found, err := parseOutput(r)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{}
	for _, bound := range bounds {
		outcome.check(bound, found)
	}
	return outcome, nil
}

func (o *Outcome) check(bound Bound, found map[benchmark]measurement) {
	m, ok := found[benchmark{bound.Module, bound.Benchmark}]
	needsMemory := bound.Allocs != nil || bound.Bytes != nil
	if !ok || (needsMemory && !m.memory) {
		o.NotRun = append(o.NotRun, bound)
		return
	}
	o.compare(bound, whatAllocs, m.allocsPerOp, bound.Allocs)
	o.compare(bound, whatBytes, m.bytesPerOp, bound.Bytes)
	if bound.Ratio == nil {
		return
	}
	base, ok := found[benchmark{bound.Module, bound.RatioTo}]
	if !ok || base.nsPerOp == 0 {
		o.NotRun = append(o.NotRun, bound)
		return
	}
	o.compare(bound, whatRatio, m.nsPerOp/base.nsPerOp, bound.Ratio)
}

func (o *Outcome) compare(bound Bound, what string, measured float64, limit *float64) {
	if limit == nil {
		return
	}
	o.Checked++
	if measured > *limit {
		o.Violations = append(o.Violations, Violation{Bound: bound, What: what, Measured: measured, Max: *limit})
	}
}
