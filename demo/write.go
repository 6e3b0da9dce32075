package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Write renders the report as tables.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "\nscenario %s, %.1f s\n", r.Scenario, r.Took.Seconds())
	r.writeServices(out)
	r.writeRegions(out)
	for _, d := range r.Drained {
		fmt.Fprintf(out, "planned stop of %s: empty after %s\n", d.VM, d.Took.Round(time.Millisecond))
	}
	r.writeChanges(out)
	if r.Skipped > 0 {
		fmt.Fprintf(out, "not sent, as too many were in progress: %d\n", r.Skipped)
	}
	r.writePromises(out)
}

func newTable(out io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

func (r *Report) writeServices(out io.Writer) {
	t := newTable(out, "account", "service", "requests", "p50 ms", "p99 ms", "p99.9 ms", "refused", "unknown", "retried", "results")
	for _, s := range r.Services {
		t.AppendRow(table.Row{s.Account, s.Service, s.Requests, millis(s.P50), millis(s.P99), millis(s.P999), s.Refused, s.Unknown, s.Retried, s.codes()})
	}
	t.Render()
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }

// codes lists the results other than ok, the most frequent first.
func (s *ServiceReport) codes() string {
	var all []result.Code
	for code := range s.Codes {
		all = append(all, code)
	}
	slices.SortFunc(all, func(a, b result.Code) int {
		if s.Codes[a] != s.Codes[b] {
			return s.Codes[b] - s.Codes[a]
		}
		return int(a) - int(b)
	})
	var parts []string
	for _, code := range all {
		parts = append(parts, fmt.Sprintf("%d %s: %d", code, code, s.Codes[code]))
	}
	return strings.Join(parts, ", ")
}

func (r *Report) writeRegions(out io.Writer) {
	t := newTable(out, "account", "region", "peak requests/s", "capacity", "lowest headroom")
	for _, g := range r.Regions {
		t.AppendRow(table.Row{g.Account, g.Region, g.PeakRPS, g.Capacity, fmt.Sprintf("%.0f %%", g.Headroom()*100)})
	}
	t.Render()
}

func (r *Report) writeChanges(out io.Writer) {
	if len(r.InForce) == 0 {
		return
	}
	middle := r.InForce[len(r.InForce)/2]
	longest := r.InForce[len(r.InForce)-1]
	fmt.Fprintf(out, "%d changes accepted, %d refused as another came first; in force on every node after %s in the middle, %s at the longest\n",
		len(r.InForce), r.Conflicts, middle.Round(time.Millisecond), longest.Round(time.Millisecond))
}

func (r *Report) writePromises(out io.Writer) {
	t := newTable(out, "promise broken", "violations", "checked")
	for _, p := range r.Promises {
		t.AppendRow(table.Row{p.Broken, p.Violations, p.Checked})
	}
	t.AppendFooter(table.Row{"in all", r.Violations(), ""})
	t.Render()
	for _, p := range r.Promises {
		for _, example := range p.Examples {
			fmt.Fprintf(out, "%s: %s\n", p.Broken, example)
		}
	}
}
