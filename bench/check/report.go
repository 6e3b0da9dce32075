package check

import (
	"fmt"
	"strings"
)

// maxExamples bounds the violations described in words.
const maxExamples = 5

// Count is how often one promise was broken.
type Count struct {
	Promise Promise
	// Violations is how often it was broken, and Checked out of how many
	// comparisons. Checked 0 means that nothing was tested.
	Violations int
	Checked    int
	// Examples describe the first violations.
	Examples []string
}

// Peak is the busiest window of one limit.
type Peak struct {
	// Limit names what is bounded, for example "daehan/dealer-desk/kr-seoul-a".
	Promise Promise
	Limit   string
	// Arrivals is the most that came in one window; Allowed is the bound.
	Arrivals, Allowed int
}

// Report is the result of a check.
type Report struct {
	Told, Ran int
	Counts    [PromiseCount]Count
	Peaks     []Peak
	// Unverifiable counts requests told as run by a target whose ledger was
	// lost; RanNowhere leaves them out.
	Unverifiable int
	// LargestMove is the largest share seen moving within a window, the
	// allowance for chance not yet taken off.
	LargestMove Move
}

// Move is traffic of one caller region that moved between places within a
// window.
type Move struct {
	// Share is the part of the region's traffic, 0 to 1.
	Share float64
	// Detail shows the shares before and after.
	Detail string
}

func newReport(in *Input) *Report {
	r := &Report{Told: len(in.Told), Ran: len(in.Ran)}
	for p := range r.Counts {
		r.Counts[p].Promise = Promise(p)
	}
	return r
}

func (r *Report) checked(p Promise) { r.Counts[p].Checked++ }

func (r *Report) violated(p Promise, format string, args ...any) {
	c := &r.Counts[p]
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// Violations is the sum over all promises.
func (r *Report) Violations() int {
	sum := 0
	for i := range r.Counts {
		sum += r.Counts[i].Violations
	}
	return sum
}

// String lists the counts, one promise a line, with the examples below.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "told %d, ran %d, unverifiable %d, largest move %.3f\n", r.Told, r.Ran, r.Unverifiable, r.LargestMove.Share)
	for i := range r.Counts {
		c := &r.Counts[i]
		fmt.Fprintf(&b, "%-26s %d of %d\n", c.Promise, c.Violations, c.Checked)
		for _, example := range c.Examples {
			fmt.Fprintf(&b, "    %s\n", example)
		}
	}
	return b.String()
}
