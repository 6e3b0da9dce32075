package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// A drain starts before its scheduled start when the move cap needs longer to empty
// the place than the drain lasts.
func TestDrainStartsEarlyToEndOnSchedule(t *testing.T) {
	a := newAccount(2, 1, 1)
	a.Policy = model.Policy{LatencyWeight: 1, Headroom: 0.2}
	in := newInput(a, 0.4)
	first := a.Places[0].Name
	end := testNow.Add(20 * time.Minute)
	a.Drains = []model.Drain{{Place: first, Start: end.Add(-5 * time.Minute), End: end, Until: end.Add(time.Hour)}}
	decisions := simulate(in, 20*60+1, nil)
	last := decisions[len(decisions)-1]
	if left := shareAt(last.Plan, 0, first); left != 0 {
		t.Fatalf("%d ppm left in the place at the end of its drain", left)
	}
	if shareAt(decisions[60].Plan, 0, first) != plan.Whole {
		t.Fatal("traffic left the place in the first minute, long before the drain had to start")
	}
	for i := range decisions {
		if hasReason(&decisions[i], KindDrainLate) {
			t.Fatalf("decision %d reports a late drain", i)
		}
	}
}

// A drain that cannot end on schedule is reported when it starts.
func TestLateDrainIsReported(t *testing.T) {
	a := newAccount(2, 1, 1)
	a.Policy = model.Policy{LatencyWeight: 1, Headroom: 0.2}
	in := newInput(a, 0.4)
	a.Drains = []model.Drain{{Place: a.Places[0].Name, Start: testNow, End: testNow.Add(5 * time.Minute), Until: testNow.Add(time.Hour)}}
	in.Previous = planWithFirstRegionIn(a, a.Places[0].Name)
	d := Decide(in)
	for _, r := range d.Reasons {
		if r.Kind == KindDrainLate {
			if r.Value < 0.39 || r.Value > 0.5 || r.Wait < 4*time.Minute {
				t.Fatalf("%.3f left at the end, late by %v, want 0.39 to 0.5 and at least 4m", r.Value, r.Wait)
			}
			return
		}
	}
	t.Fatal("no reason reports the late drain")
}

// planWithFirstRegionIn returns a plan that sends the callers of the first region
// to the given place and all others to their own region.
func planWithFirstRegionIn(a *model.Account, place model.PlaceName) *plan.Plan {
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

// At the end of a drain the targets stop, so remaining traffic must be rejected
// instead of sent there.
func TestEndedDrainHasNoUsableCapacity(t *testing.T) {
	a := newAccount(2, 2, 1)
	in := newInput(a, 0.5)
	in.Previous = Decide(in).Plan
	a.Drains = []model.Drain{{Place: a.Places[0].Name, Start: testNow.Add(-time.Hour), End: testNow, Until: testNow.Add(time.Hour)}}
	if d := Decide(in); d.Limits[0].UsableRPS != 0 {
		t.Fatalf("place has a limit at the end of its drain: %+v", d.Limits[0])
	}
}
