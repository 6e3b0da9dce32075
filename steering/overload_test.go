package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// When a limit drops below the load, traffic leaves until the limit holds, and no
// further.
func TestTrafficLeavesOverloadedResource(t *testing.T) {
	cases := []struct {
		name   string
		from   model.PlaceName
		change func(in *Input)
		cause  Kind
		kept   uint32
	}{
		{"place", "r00-00", func(in *Input) { in.Account.Services[0].Capacity[0].RPS = 400 }, KindCapacity, 500_000},
		{"targets", "r00-00", func(in *Input) { stateOf(in, "r00-00").Usable = 5 }, KindFailure, 625_000},
		{"region", "r00-00", func(in *Input) { in.Account.Regions[0].CapacityRPS = 600 }, KindRegion, 750_000},
		{"link", "r01-00", func(in *Input) { in.Account.Regions[1].LinkInRPS = 200 }, KindLink, 250_000},
	}
	for _, c := range cases {
		a := newAccount(2, 1, 1)
		// Without a policy, only the limits move traffic.
		a.Policy = model.Policy{}
		a.Moves.Share = 1
		in := newInput(a, 0.8)
		in.Demand[1].RPS = 0
		in.Previous = planWithFirstRegionIn(a, c.from)
		c.change(&in)
		last := in.Previous
		causes := map[Kind]bool{}
		for _, d := range simulate(in, 200, nil) {
			for _, m := range d.Moves {
				causes[m.Cause] = true
			}
			last = d.Plan
		}
		if got := shareAt(last, 0, c.from); !causes[c.cause] || got > c.kept || got < c.kept/2 {
			t.Errorf("%s: causes %v, %d ppm left, want at most %d and at least half of it", c.name, causes, got, c.kept)
		}
	}
}

// The margin on a demand grows with its age, to leave capacity for unreported load.
func TestMarginGrowsWithAge(t *testing.T) {
	desired := func(age time.Duration) float64 {
		in := newInput(newAccount(1, 1, 1), 0.5)
		in.Demand[0].Age = age
		return Decide(in).Limits[0].DesiredRPS
	}
	young, older, old := desired(freshAge), desired(15*time.Second), desired(FreezeAge)
	if young != 500 || older <= young || old <= older || old != 500*(1+staleMargin) {
		t.Fatalf("desired %.1f, %.1f, %.1f requests/s, want them to grow with the age", young, older, old)
	}
}

// The earliest of several drains of one place that is not over applies.
func TestNextDrainApplies(t *testing.T) {
	at := func(hours int) time.Time { return testNow.Add(time.Duration(hours) * time.Hour) }
	drains := []model.Drain{
		{Place: "a", Start: at(-1), End: at(1), Until: at(2)},
		{Place: "a", Start: at(5), End: at(6), Until: at(7)},
		{Place: "a", Start: at(-9), End: at(-8), Until: at(-7)},
	}
	if state := drainOf(drains, "a", testNow); !state.closed || state.ended || !state.schedule.End.Equal(at(1)) {
		t.Fatalf("drain state %+v, want the closed one that ends first", state)
	}
}
