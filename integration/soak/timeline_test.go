package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/bench/chart"
)

// timeline notes when faults began, for the plot of a run.
type timeline struct {
	began time.Time
	mu    sync.Mutex
	marks []time.Duration
}

func (t *timeline) mark() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks = append(t.marks, time.Since(t.began))
}

// write plots for each second the answers by kind, the slowest answer and the faults.
func (t *timeline) write(all []outcome, name string) error {
	last := 0
	for _, o := range all {
		last = max(last, int(o.at/time.Second))
	}
	kinds := []string{"answered", "refused", "failed", "no answer"}
	counts := make(map[string][]float64)
	for _, kind := range kinds {
		counts[kind] = make([]float64, last+1)
	}
	slowest := make([]float64, last+1)
	for _, o := range all {
		second := int(o.at / time.Second)
		counts[kindOf(o.status)][second]++
		slowest[second] = max(slowest[second], float64(o.took.Milliseconds()))
	}
	answers := chart.Panel{Title: "answers", Unit: "a second"}
	for _, kind := range kinds {
		answers.Lines = append(answers.Lines, chart.Line{Name: kind, Values: counts[kind]})
	}
	faults := chart.Panel{Title: "faults begun", Unit: "a second", Lines: []chart.Line{{Name: "faults", Values: t.faults(last)}}}
	slow := chart.Panel{Title: "slowest answer", Unit: "ms", Lines: []chart.Line{{Name: "slowest", Values: slowest}}}
	return chart.WriteTimeline(&chart.Timeline{Rows: [][]chart.Panel{{answers}, {slow}, {faults}}}, name)
}

// faults counts the marks of each second.
func (t *timeline) faults(last int) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]float64, last+1)
	for _, at := range t.marks {
		counts[min(last, int(at/time.Second))]++
	}
	return counts
}

func kindOf(status int) string {
	switch {
	case status == 0:
		return "no answer"
	case status == http.StatusOK:
		return "answered"
	case isPromise(status):
		return "refused"
	default:
		return "failed"
	}
}
