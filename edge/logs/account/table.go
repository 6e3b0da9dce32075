package account

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// WriteTables writes the report as text tables.
func (a *Report) WriteTables(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%d requests, %d lines not understood\n\n", a.Requests, a.BadLines)
	writeCauses(w, &a.All)
	writeGroups(w, "route", a.ByRoute)
	if len(a.ByAccount) > 0 {
		writeGroups(w, "account", a.ByAccount)
	}
	writeGroups(w, "region", a.ByRegion)
	fmt.Fprint(w, "\nsecond\tasked\tin objective\tlate\trefused\tfailed\tslow runs\texpected ms\tseen ms\t\n")
	for i := range a.BySecond {
		p := &a.BySecond[i]
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			p.Second, p.Total(), p.InObjective, p.Late, p.Refused, p.Failed, p.SlowRuns, p.Expected, p.Seen)
	}
	return w.Flush()
}

func writeCauses(w io.Writer, c *Counts) {
	causes := make([]Cause, 0, len(c.Causes))
	for cause := range c.Causes {
		causes = append(causes, cause)
	}
	sort.Slice(causes, func(i, j int) bool {
		if c.Causes[causes[i]] != c.Causes[causes[j]] {
			return c.Causes[causes[i]] > c.Causes[causes[j]]
		}
		return causes[i] < causes[j]
	})
	fmt.Fprint(w, "requests\tin all, %\tcause\t\n")
	fmt.Fprintf(w, "%d\t%.1f\tin objective\t\n", c.InObjective, percent(c.InObjective, c.Total()))
	for _, cause := range causes {
		fmt.Fprintf(w, "%d\t%.1f\t%s\t\n", c.Causes[cause], percent(c.Causes[cause], c.Total()), cause)
	}
	fmt.Fprintf(w, "%d\t%.1f\tcaller left\t\n", c.CallerLeft, percent(c.CallerLeft, c.Total()))
}

func writeGroups(w io.Writer, name string, list []Group) {
	fmt.Fprintf(w, "\n%s\tasked\tin objective\tlate\trefused\tfailed\tmost for\t\n", name)
	for _, g := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", g.Key, g.Total(), g.InObjective, g.Late, g.Refused, g.Failed, mostFrequent(g.Causes))
	}
}

// mostFrequent returns the most frequent cause, the first by name among equals.
func mostFrequent(causes map[Cause]int) Cause {
	best := Cause("")
	for cause, n := range causes {
		if n > causes[best] || (n == causes[best] && cause < best) {
			best = cause
		}
	}
	return best
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(1, all)) }
