package forecast

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

func account(capacityA float64) *model.Account {
	return &model.Account{
		Name:     "daehan",
		Moves:    model.MoveLimits{Share: 0.1, Window: time.Minute},
		Policy:   model.Policy{LatencyWeight: 0.8, HeadroomWeight: 0.2, Headroom: 0.2},
		Regions:  []model.Region{{Name: "seoul", CapacityRPS: 4000, LinkInRPS: 4000}},
		Places:   []model.Place{{Name: "a", Region: "seoul"}, {Name: "b", Region: "seoul"}},
		Services: []model.Service{{Name: "desk", Capacity: []model.PlaceCapacity{{Place: "a", RPS: capacityA}, {Place: "b", RPS: 1000}}}},
	}
}

func input() steering.Input {
	in := steering.Input{
		Account: account(1000),
		Now:     time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		Demand:  []steering.Demand{{Service: "desk", Caller: "seoul", RPS: 900, Age: time.Hour}},
	}
	for _, place := range []model.PlaceName{"a", "b"} {
		in.Places = append(in.Places, steering.PlaceState{Service: "desk", Place: place, Usable: 4, Known: 4, Age: time.Hour})
	}
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "desk", Caller: "seoul", Shares: []plan.Share{{Place: "a", PPM: 500_000}, {Place: "b", PPM: 500_000}}}}}
	return in
}

// The forecast of a removed place must report the moved traffic, the time that the
// move cap needs for it, and that the remaining capacity suffices.
func TestForecastOfARemovedPlace(t *testing.T) {
	changed := account(1000)
	changed.Places = changed.Places[1:]
	changed.Services[0].Capacity = changed.Services[0].Capacity[1:]
	f := Run(input(), changed)
	duration := time.Duration(f.DurationMS) * time.Millisecond
	if !f.Settled || !f.CapacityHolds || duration < 4*time.Minute || duration > 6*time.Minute {
		t.Fatalf("settled %v after %v, shortfalls %v", f.Settled, duration, f.Shortfalls)
	}
	if len(f.Changes) != 2 || f.Changes[0].After != 100 || f.Changes[1].After != 0 {
		t.Fatalf("changes %+v", f.Changes)
	}
	if f.MovedPercent < 49.9 || f.MovedPercent > 50.1 {
		t.Fatalf("moved %.2f %%", f.MovedPercent)
	}
}

// A change that leaves less capacity than demand must report a shortfall.
func TestForecastReportsMissingCapacity(t *testing.T) {
	changed := account(1000)
	changed.Services[0].Capacity[0].RPS = 100
	changed.Services[0].Capacity[1].RPS = 500
	f := Run(input(), changed)
	if f.CapacityHolds || len(f.Shortfalls) != 1 || f.Shortfalls[0].CarriedRPS > 600.001 {
		t.Fatalf("capacity holds %v, shortfalls %+v", f.CapacityHolds, f.Shortfalls)
	}
}

// An unchanged account moves nothing and takes no time.
func TestForecastOfNoChange(t *testing.T) {
	f := Run(input(), account(1000))
	if !f.Settled || f.DurationMS != 0 || len(f.Changes) != 0 || !f.CapacityHolds {
		t.Fatalf("%+v", f)
	}
}
