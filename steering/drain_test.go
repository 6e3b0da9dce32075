package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// A planned stop ends on schedule: the cap of a tenth a minute needs eleven
// minutes or so for a flow that is all in one place, so that the drain must
// begin before its start of five minutes ahead.
func TestDrainBeginsEarlyEnough(t *testing.T) {
	a := accountOf(2, 1, 1)
	a.Policy = model.Policy{LatencyWeight: 1, Headroom: 0.2}
	in := inputOf(a, 0.4)
	first := a.Places[0].Name
	end := testNow.Add(20 * time.Minute)
	a.Drains = []model.Drain{{Place: first, Start: end.Add(-5 * time.Minute), End: end, Until: end.Add(time.Hour)}}
	decisions := follow(in, 20*60+1, nil)
	last := decisions[len(decisions)-1]
	if left := shareAt(last.Plan, 0, first); left != 0 {
		t.Fatalf("%d ppm left in the place at the end of its drain", left)
	}
	if shareAt(decisions[60].Plan, 0, first) != plan.Whole {
		t.Fatal("the drain began a quarter of an hour too early")
	}
	for i := range decisions {
		if hasReason(&decisions[i], KindDrainLate) {
			t.Fatalf("second %d says that the drain ends late", i)
		}
	}
}

// The same drain, ordered five minutes before its end, cannot end on schedule,
// and the operators must hear of it at once, not when it is over.
func TestDrainThatCannotEndSaysSo(t *testing.T) {
	a := accountOf(2, 1, 1)
	a.Policy = model.Policy{LatencyWeight: 1, Headroom: 0.2}
	in := inputOf(a, 0.4)
	a.Drains = []model.Drain{{Place: a.Places[0].Name, Start: testNow, End: testNow.Add(5 * time.Minute), Until: testNow.Add(time.Hour)}}
	in.Previous = onlyIn(a, a.Places[0].Name)
	d := Decide(in)
	for _, r := range d.Reasons {
		if r.Kind == KindDrainLate {
			if r.Value < 0.39 || r.Value > 0.5 || r.Wait < 4*time.Minute {
				t.Fatalf("left at the end %.3f, late by %v", r.Value, r.Wait)
			}
			return
		}
	}
	t.Fatal("no reason says that the drain ends late")
}

// onlyIn is a plan that has the callers of the first region in one place and
// the others in their own.
func onlyIn(a *model.Account, place model.PlaceName) *plan.Plan {
	p := &plan.Plan{}
	for i, r := range a.Regions {
		home := a.Places[i*len(a.Places)/len(a.Regions)].Name
		if i == 0 {
			home = place
		}
		p.Flows = append(p.Flows, plan.Flow{Service: a.Services[0].Name, Caller: r.Name, Shares: []plan.Share{{Place: home, PPM: plan.Whole}}})
	}
	return p
}

// At the end of a drain the targets stop. What the cap has left there must be
// refused, not sent.
func TestEndedDrainLeavesNoLimit(t *testing.T) {
	a := accountOf(2, 2, 1)
	in := inputOf(a, 0.5)
	in.Previous = Decide(in).Plan
	a.Drains = []model.Drain{{Place: a.Places[0].Name, Start: testNow.Add(-time.Hour), End: testNow, Until: testNow.Add(time.Hour)}}
	if d := Decide(in); d.Limits[0].UsableRPS != 0 {
		t.Fatalf("limit at the end of the drain: %+v", d.Limits[0])
	}
}
