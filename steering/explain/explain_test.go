package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

// Every kind must have a text; a missing one falls back to the name of the kind.
func TestEveryKindHasText(t *testing.T) {
	for kind := steering.KindLatency; kind.String() != "invalid"; kind++ {
		text := textOf(&steering.Reason{Kind: kind, Place: "kr-seoul-a", Value: 0.25, Limit: 0.5, Wait: 90 * time.Second})
		if text == kind.String() || len(text) < 20 {
			t.Errorf("text of kind %s is %q", kind, text)
		}
	}
}

// The report must name the full place that causes traffic to go to another region.
func TestReportNamesTheCause(t *testing.T) {
	account := &model.Account{
		Name:   "daehan",
		Policy: model.Policy{LatencyWeight: 1},
		Moves:  model.MoveLimits{Share: 0.1, Window: time.Minute},
		Regions: []model.Region{
			{Name: "kr-seoul", CapacityRPS: 1000, LinkInRPS: 500, Delays: []model.Delay{{To: "kr-busan", OneWay: 55 * time.Millisecond}}},
			{Name: "kr-busan", CapacityRPS: 1000, LinkInRPS: 500},
		},
		Places: []model.Place{{Name: "kr-seoul-a", Region: "kr-seoul"}, {Name: "kr-busan-a", Region: "kr-busan"}},
		Services: []model.Service{{Name: "dealer-desk", Capacity: []model.PlaceCapacity{
			{Place: "kr-seoul-a", RPS: 300}, {Place: "kr-busan-a", RPS: 800},
		}}},
	}
	in := steering.Input{Account: account, Demand: []steering.Demand{
		{Service: "dealer-desk", Caller: "kr-seoul", RPS: 500},
		{Service: "dealer-desk", Caller: "kr-busan", RPS: 100},
	}}
	d := steering.Decide(in)
	r := NewReport(&d)
	if r.Flows[0].Shares[1].Place != "kr-seoul-a" || r.Flows[0].Shares[1].Percent != 60 {
		t.Fatalf("shares %+v", r.Flows[0].Shares)
	}
	text := r.String()
	for _, want := range []string{"dealer-desk from kr-seoul", "60.00 %  kr-seoul-a", "kr-seoul-a is full: 300 of 300 requests/s"} {
		if !strings.Contains(text, want) {
			t.Errorf("report lacks %q:\n%s", want, text)
		}
	}
	if sum := r.Flows[0].Shares[0].Percent + r.Flows[0].Shares[1].Percent; sum != float64(plan.Whole)*100/plan.Whole {
		t.Errorf("shares add up to %.2f %%", sum)
	}
}
