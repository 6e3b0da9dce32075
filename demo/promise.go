package demo

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
)

// Promise is how often one promise was broken, out of how many comparisons.
// Checked 0 means that the run did not test it.
type Promise struct {
	Broken     string
	Violations int
	Checked    int
	Examples   []string
}

// maxExamples bounds the violations that are described.
const maxExamples = 5

// newPromise counts violations, each with its description.
func newPromise(broken string, violations []string, checked int) Promise {
	return Promise{
		Broken:     broken,
		Violations: len(violations),
		Checked:    checked,
		Examples:   violations[:min(len(violations), maxExamples)],
	}
}

// promises joins what the checker found with what was seen of the nodes.
func (r *run) promises(report *check.Report, told []check.Told) []Promise {
	var all []Promise
	for _, c := range report.Counts {
		all = append(all, Promise{
			Broken:     c.Promise.String(),
			Violations: c.Violations,
			Checked:    c.Checked,
			Examples:   c.Examples,
		})
	}
	w := r.configuration
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(all,
		r.plannedStops(told),
		newPromise("configuration went back", w.wentBack, w.checked),
		newPromise("accepted change late", w.late(), len(w.changes)),
	)
}

// plannedStops counts requests that a planned stop of an entry VM broke: sent
// through it after the stop began, with an unknown outcome.
func (r *run) plannedStops(told []check.Told) Promise {
	var broken []string
	checked := 0
	for i := range told {
		t := &told[i]
		began, stopped := r.stopped[t.Entry]
		if !stopped || t.Done.Before(began) {
			continue
		}
		checked++
		if t.Outcome == result.Unknown {
			after := t.Done.Sub(began).Round(time.Millisecond)
			broken = append(broken, t.Token+" through "+t.Entry+" "+after.String()+" after its stop began")
		}
	}
	return newPromise("work broken by a planned stop", broken, checked)
}
