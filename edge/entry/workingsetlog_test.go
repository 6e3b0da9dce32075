package entry

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// Each large change of a VM's view must be logged once, small ones not at all, and the metrics must follow.
func TestWorkingSetChangesAreLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	w := &workingSets{log: logrus.NewEntry(logger), scope: scope, known: make(map[workingSetTags]*knownWorkingSet)}
	for i, fraction := range []float64{1, 1, 0.95, 0.94, 0.9, 0.5, 0.5, 0.55, 0.99, 1, 1} {
		set := &placing.WorkingSet{Service: "s", Region: "a", Fractions: workingset.AllAdmitted(), Refused: 10 * i}
		set.Fractions[2] = fraction
		w.observe(set)
	}
	var logged []float64
	for _, entry := range hook.AllEntries() {
		if entry.Message != "placing: working set changed" || entry.Data["rank"] != 2 {
			t.Errorf("%s %v", entry.Message, entry.Data)
		}
		logged = append(logged, entry.Data["fraction"].(float64))
	}
	if len(logged) != 4 || logged[0] != 0.95 || logged[1] != 0.5 || logged[2] != 0.99 || logged[3] != 1 {
		t.Errorf("logged %v", logged)
	}
	snapshot := scope.Snapshot()
	if g := snapshot.Gauges()["working_set_fraction+region=a,service=s"]; g == nil || g.Value() != 1 {
		t.Errorf("gauge %v", g)
	}
	if c := snapshot.Counters()["working_set_refused+region=a,service=s"]; c == nil || c.Value() != 100 {
		t.Errorf("counter %v", c)
	}
}
