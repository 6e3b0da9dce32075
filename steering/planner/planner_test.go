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

func situation(now time.Time) decider.PlannerInput {
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
	return decider.PlannerInput{
		Account:   account,
		Reports:   []decider.NodeReport{{Report: report, Age: time.Second}},
		Previous:  &plan.Plan{Flows: []plan.Flow{{Service: "desk", Caller: "seoul", Shares: []plan.Share{{Place: "a", PPM: 500_000}, {Place: "b", PPM: 500_000}}}}},
		Now:       now,
		TermStart: start,
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

// A place is down and one of two VMs has been silent since before the last
// move. Its callers may come to the other VM at any moment and move by the
// distance between the two: what the plan moves now must leave room for that.
func TestSilentNodeLeavesLessToMove(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
		second int32
	}{{"both report", false, 100_000}, {"one is silent", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			first, second := movesBesideNode(c.silent)
			if first != 100_000 || second != c.second {
				t.Fatalf("moved %d and then %d ppm, want 100000 and %d", first, second, c.second)
			}
		})
	}
}

// movesBesideNode returns what two plans move that are a window apart, the
// second while one of two nodes follows the first or is silent.
func movesBesideNode(silent bool) (first, second int32) {
	p := New()
	s := situation(start.Add(10 * time.Second))
	s.Account.Moves.Window = 10 * time.Second
	s.Previous.Epoch, s.Previous.Sequence = 1, 1
	s.Reports[0].Report.Flows = []observe.FlowDemand{{Service: "desk", Caller: "seoul", OfferedRPS: 400}}
	s.Reports[0].Report.Node.VM = "vm1"
	s.Reports[0].Report.PlanEpoch, s.Reports[0].Report.PlanSequence = 1, 1
	s.Reports = append(s.Reports, s.Reports[0])
	s.Reports[1].Report.Node.VM = "vm2"
	planned := p.Plan(s)
	first = raised(planned)
	s.Previous = &plan.Plan{Epoch: 1, Sequence: 2, Flows: planned.Flows}
	s.Moves = planned.Moves
	for i := range s.Moves {
		s.Moves[i].At = s.Now
	}
	for range 12 {
		s.Now = s.Now.Add(time.Second)
		s.Reports[0].Report.PlanSequence = 2
		if silent {
			s.Reports[1].Age += time.Second
		} else {
			s.Reports[1].Report.PlanSequence = 2
		}
		planned = p.Plan(s)
	}
	return first, raised(planned)
}

// raised sums the share increases.
func raised(planned decider.PlannerOutput) int32 {
	sum := int32(0)
	for _, m := range planned.Moves {
		sum += max(m.Delta, 0)
	}
	return sum
}
