package entry

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/placing"
)

// Guards against a changed plan that is not logged, against a line for each small change, and against
// gauges that lack restricted demand.
func TestRegionPlanChangesAreLogged(t *testing.T) {
	logger, hook := test.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	r := newRegionPlans(logrus.NewEntry(logger), scope)
	plan := func(weight float64) []placing.PlanStatus {
		weights := map[string]float64{"a": weight, "b": 1 - weight}
		return []placing.PlanStatus{
			{Service: "s", Regions: []string{"a", "b"}, Weights: weights, Capacity: map[string]float64{"a": 5, "b": 5}, Demand: map[string]float64{"a": 2}},
			{Service: "s", Regions: []string{"a"}, Restricted: true, Weights: map[string]float64{"a": 1}, Demand: map[string]float64{"a": 3}},
		}
	}
	for _, c := range []struct {
		weight float64
		lines  int
	}{{1, 1}, {0.95, 1}, {0.89, 2}, {0.85, 2}, {0.75, 3}} {
		r.update(plan(c.weight))
		if n := len(hook.Entries); n != c.lines {
			t.Errorf("weight %v: %d lines, want %d", c.weight, n, c.lines)
		}
	}
	gauges := scope.Snapshot().Gauges()
	if g := gauges["region_demand+region=a,service=s"]; g == nil || g.Value() != 5 {
		t.Errorf("demand %v", g)
	}
	if g := gauges["region_plan_weight+region=b,service=s"]; g == nil || g.Value() != 0.25 {
		t.Errorf("weight %v", g)
	}
}
