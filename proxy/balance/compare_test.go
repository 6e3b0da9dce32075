package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// roundRobin selects the targets in turn.
type roundRobin struct{ next int }

func (c *roundRobin) choose(int64, *rand.Rand) int {
	c.next++
	return c.next % simTargets
}
func (*roundRobin) sent(int)                                      {}
func (*roundRobin) ended(int, outcome, time.Duration, int, int64) {}

// leastOutstanding selects the target with the fewest of the node's own requests.
type leastOutstanding struct{ outstanding [simTargets]int }

func (c *leastOutstanding) choose(_ int64, random *rand.Rand) int {
	best := random.IntN(simTargets)
	for i := range simTargets {
		j := (best + i) % simTargets
		if c.outstanding[j] < c.outstanding[best] {
			best = j
		}
	}
	return best
}
func (c *leastOutstanding) sent(target int) { c.outstanding[target]++ }
func (c *leastOutstanding) ended(target int, _ outcome, _ time.Duration, _ int, _ int64) {
	c.outstanding[target]--
}

// twoByReport selects the less loaded of two random targets by their last reports.
type twoByReport struct{ reports [simTargets]int }

func (c *twoByReport) choose(_ int64, random *rand.Rand) int {
	a, b := random.IntN(simTargets), random.IntN(simTargets)
	if c.reports[b] < c.reports[a] {
		return b
	}
	return a
}
func (*twoByReport) sent(int) {}
func (c *twoByReport) ended(target int, o outcome, _ time.Duration, load int, _ int64) {
	if o != timedOut {
		c.reports[target] = load
	}
}

// setPolicy is the policy of this package.
type setPolicy struct{ set *Set }

func newSetPolicy() policy { return &setPolicy{set: newSet(simTargets, 100)} }

func (c *setPolicy) choose(now int64, random *rand.Rand) int {
	return c.set.Acquire(now, random.Uint64(), 0)
}
func (*setPolicy) sent(int) {}
func (c *setPolicy) ended(target int, o outcome, latency time.Duration, _ int, now int64) {
	t := c.set.Targets[target]
	t.Release()
	switch o {
	case served:
		t.RecordLatency(latency)
		t.Health.RecordSuccess(now)
	case shed:
		t.RecordShed(now)
	default:
		c.set.RecordFailure(target, now)
	}
}

// comparison is a selection policy; lag is the age of its load reports.
type comparison struct {
	name string
	new  func() policy
	lag  time.Duration
}

func newTwoByReport() policy { return &twoByReport{} }

// The first entry is the policy of this package, which reads no reports.
var comparisons = []comparison{
	{"this package", newSetPolicy, 0},
	{"round robin", func() policy { return &roundRobin{} }, 0},
	{"least outstanding", func() policy { return &leastOutstanding{} }, 0},
	{"two by report, 0.1 s old", newTwoByReport, 100 * time.Millisecond},
	{"two by report, 10 s old", newTwoByReport, 10 * time.Second},
}

// The policy of this package must have the lowest p99 latency and the fewest lost
// requests of all policies, with slow, misreporting, failing, cold and
// unresponsive targets and a load peak. The results are in
// docs/design/0006-target-choice.md.
func TestSelectionAgainstOtherPolicies(t *testing.T) {
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
