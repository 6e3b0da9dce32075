package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// roundRobin takes the targets in turn.
type roundRobin struct{ next int }

func (c *roundRobin) choose(int64, *rand.Rand) int {
	c.next++
	return c.next % simTargets
}
func (*roundRobin) sent(int)                                     {}
func (*roundRobin) ended(int, ending, time.Duration, int, int64) {}

// leastOutstanding takes the target with the fewest of the node's own requests.
type leastOutstanding struct{ open [simTargets]int }

func (c *leastOutstanding) choose(_ int64, random *rand.Rand) int {
	best := random.IntN(simTargets)
	for i := range simTargets {
		j := (best + i) % simTargets
		if c.open[j] < c.open[best] {
			best = j
		}
	}
	return best
}
func (c *leastOutstanding) sent(target int) { c.open[target]++ }
func (c *leastOutstanding) ended(target int, _ ending, _ time.Duration, _ int, _ int64) {
	c.open[target]--
}

// twoByReport takes the less loaded of two targets by their last reports.
type twoByReport struct{ reports [simTargets]int }

func (c *twoByReport) choose(_ int64, random *rand.Rand) int {
	a, b := random.IntN(simTargets), random.IntN(simTargets)
	if c.reports[b] < c.reports[a] {
		return b
	}
	return a
}
func (*twoByReport) sent(int) {}
func (c *twoByReport) ended(target int, e ending, _ time.Duration, load int, _ int64) {
	if e != silent {
		c.reports[target] = load
	}
}

// ours is the choice of this package.
type ours struct{ set *Set }

func newOurs() chooser { return &ours{set: newSet(simTargets, 100)} }

func (c *ours) choose(now int64, random *rand.Rand) int {
	return c.set.Acquire(now, random.Uint64(), 0)
}
func (*ours) sent(int) {}
func (c *ours) ended(target int, e ending, took time.Duration, _ int, now int64) {
	t := c.set.Targets[target]
	t.Release()
	switch e {
	case served:
		t.RecordLatency(took)
		t.Health.RecordSuccess(now)
	case shed:
		t.RecordShed(now)
	default:
		c.set.RecordFailure(target, now)
	}
}

// comparison is one way to choose; lag is how old its load reports are.
type comparison struct {
	name string
	new  func() chooser
	lag  time.Duration
}

func newTwoByReport() chooser { return &twoByReport{} }

// The first is the choice of this package, which reads no reports.
var comparisons = []comparison{
	{"this package", newOurs, 0},
	{"round robin", func() chooser { return &roundRobin{} }, 0},
	{"least outstanding", func() chooser { return &leastOutstanding{} }, 0},
	{"two by report, 0.1 s old", newTwoByReport, 100 * time.Millisecond},
	{"two by report, 10 s old", newTwoByReport, 10 * time.Second},
}

// The same 20 seconds of load, with a slow, a lying, a failing, a cold and a
// silent target and a peak, under four ways to choose, with few and with many
// entry nodes and load reports of any age. The choice of this package must be
// the best of them by p99 and by requests lost. The table is in
// docs/design/0006-target-choice.md.
func TestChoiceAgainstOthers(t *testing.T) {
	for _, nodes := range []int{8, 64} {
		compare(t, nodes)
	}
}

func compare(t *testing.T, nodes int) {
	var own *simResult
	for _, c := range comparisons {
		r := simulate(c.new, nodes, c.lag)
		t.Logf("nodes %2d %-24s sent %d p50 %5.1f ms p99 %6.1f ms refused %4d failed %4d", nodes, c.name,
			r.sent, millis(r.quantile(0.5)), millis(r.quantile(0.99)), r.refused, r.failed)
		if own == nil {
			own = r
		}
		if own.quantile(0.99) > r.quantile(0.99) || own.refused+own.failed > r.refused+r.failed {
			t.Errorf("%d nodes: %s does better", nodes, c.name)
		}
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
