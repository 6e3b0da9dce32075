package planner

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/steering"
)

var start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

func situation(now time.Time) decider.Situation {
	account := &model.Account{
		Name:     "daehan",
		Moves:    model.MoveLimits{Share: 0.1, Window: time.Minute},
		Policy:   model.Policy{LatencyWeight: 0.8, HeadroomWeight: 0.2, Headroom: 0.2},
		Regions:  []model.Region{{Name: "seoul", CapacityRPS: 2000, LinkInRPS: 1000}},
		Places:   []model.Place{{Name: "a", Region: "seoul"}, {Name: "b", Region: "seoul"}},
		Services: []model.Service{{Name: "desk", Capacity: []model.PlaceCapacity{{Place: "a", RPS: 1000}, {Place: "b", RPS: 1000}}}},
	}
	report := observe.Report{Flows: []observe.FlowDemand{{Service: "desk", Caller: "seoul", OfferedRPS: 800}}}
	for _, place := range []model.PlaceName{"a", "b"} {
		report.Places = append(report.Places, observe.PlaceLoad{Service: "desk", Place: place, SentRPS: 400, Targets: 4, Known: 4})
	}
	report.Places[0].Targets = 0
	return decider.Situation{
		Account:  account,
		Reports:  []decider.Observed{{Report: report, Age: time.Second}},
		Previous: &plan.Plan{Flows: []plan.Flow{{Service: "desk", Caller: "seoul", Shares: []plan.Share{{Place: "a", PPM: 500_000}, {Place: "b", PPM: 500_000}}}}},
		Now:      now,
		Since:    start,
	}
}

// Story: an operator asks for a dry run seconds after a change of decider. The
// demand is not known yet; a forecast from no demand would say that every
// capacity holds and nothing moves.
func TestNoForecastFromUnknownDemand(t *testing.T) {
	p := New()
	p.Plan(situation(start.Add(time.Second)))
	if last, ok := p.Last("daehan"); ok {
		t.Errorf("input with demand %v", last.Demand)
	}
}

// A decider takes over while a place is down and another decider's moves have
// just used the cap up. Before the nodes have reported it moves nothing; then
// it moves what the remembered moves leave, and no more.
func TestNewDeciderKeepsTheCap(t *testing.T) {
	p := New()
	if planned := p.Plan(situation(start.Add(time.Second))); len(planned.Moves) != 0 {
		t.Fatalf("moved before the reports are in: %+v", planned.Moves)
	}
	s := situation(start.Add(10 * time.Second))
	s.Moves = []ledger.Move{{At: start, Service: "desk", Caller: "seoul", Place: "b", Delta: 70_000}}
	planned := p.Plan(s)
	if len(planned.Moves) != 2 || planned.Moves[1].Delta != 30_000 {
		t.Fatalf("moves %+v, want 30000 ppm", planned.Moves)
	}
	if _, ok := planned.Explanation.(steering.Decision); !ok {
		t.Fatalf("explanation is a %T", planned.Explanation)
	}
	if last, ok := p.Last("daehan"); !ok || len(last.Demand) != 1 || last.Now != s.Now {
		t.Fatalf("last input %+v", last)
	}
	if _, ok := p.Last("alpenvlies"); ok {
		t.Fatal("an input of an account nobody planned")
	}
}
