package aggregate

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/steering"
)

var start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

var account = &model.Account{
	Services: []model.Service{{Name: "desk"}},
	Regions:  []model.Region{{Name: "seoul"}},
}

func reportOf(age time.Duration, rps float64, load observe.PlaceLoad) Report {
	load.Service, load.Place = "desk", "a"
	return Report{Age: age, Report: observe.Report{
		Flows:  []observe.FlowDemand{{Service: "desk", Caller: "seoul", OfferedRPS: rps}},
		Places: []observe.PlaceLoad{load},
	}}
}

// The last rate of a silent node stays in the demand and raises its age; its old
// target counts are ignored.
func TestSilentNodeKeepsItsDemand(t *testing.T) {
	reports := []Report{
		reportOf(0, 300, observe.PlaceLoad{SentRPS: 300, Targets: 4, Known: 4}),
		reportOf(40*time.Second, 100, observe.PlaceLoad{SentRPS: 100, Targets: 0, Known: 4}),
	}
	demand, places := New().Update(account, reports, nil, start)
	if demand[0].RPS != 400 || demand[0].Age != 10*time.Second {
		t.Fatalf("demand %+v", demand[0])
	}
	if places[0].Usable != 4 || places[0].Known != 4 || places[0].Age != 0 {
		t.Fatalf("place %+v", places[0])
	}
}

// A place must not count as failed because one node cannot reach its targets.
func TestUnreachablePlaceForOneNode(t *testing.T) {
	healthy := observe.PlaceLoad{SentRPS: 90, Targets: 4, Known: 4, P99: 20 * time.Millisecond}
	unreachable := observe.PlaceLoad{SentRPS: 10, Targets: 0, Known: 4, FailureShare: 1}
	_, places := New().Update(account, []Report{reportOf(0, 1, healthy), reportOf(0, 1, healthy), reportOf(0, 1, healthy), reportOf(0, 1, unreachable)}, nil, start)
	if p := places[0]; p.Usable != 12 || p.Known != 16 || p.FailureShare > 0.04 || p.P99 != 20*time.Millisecond {
		t.Fatalf("place %+v", p)
	}
}

// The last report of a node lost with its failure domain still lists all targets
// there. It must not keep the place healthy until the report is stale.
func TestLostNodeDoesNotKeepItsPlace(t *testing.T) {
	lost := reportOf(10*time.Second, 1, observe.PlaceLoad{SentRPS: 90, Targets: 4, Known: 4})
	other := reportOf(0, 1, observe.PlaceLoad{})
	_, places := New().Update(account, []Report{lost, other, other, other}, nil, start)
	if p := places[0]; p.Usable != 4 || p.Known != 16 || p.NoTargets {
		t.Fatalf("place %+v", p)
	}
	_, places = New().Update(account, []Report{other, other, other}, nil, start)
	if p := places[0]; !p.NoTargets {
		t.Fatalf("place %+v, want it empty", p)
	}
}

// Latency with cold caches after an increase must not enter the warm latency, which
// would hide that the place is slow.
func TestWarmLatencyExcludesIncreases(t *testing.T) {
	a := New()
	load := observe.PlaceLoad{SentRPS: 100, Targets: 4, Known: 4, P99: 20 * time.Millisecond}
	a.Update(account, []Report{reportOf(0, 100, load)}, nil, start)
	load.P99 = 90 * time.Millisecond
	increases := []steering.Move{{Service: "desk", Caller: "seoul", Place: "a", Delta: 1000, Age: 5 * time.Second}}
	_, places := a.Update(account, []Report{reportOf(0, 100, load)}, increases, start.Add(10*time.Second))
	if places[0].WarmP99 != 20*time.Millisecond || places[0].P99 < 80*time.Millisecond {
		t.Fatalf("place %+v", places[0])
	}
	increases[0].Age = time.Hour
	_, places = a.Update(account, []Report{reportOf(0, 100, load)}, increases, start.Add(10*time.Minute))
	if places[0].WarmP99 < 85*time.Millisecond {
		t.Fatalf("warm latency of a permanently slow place did not adapt: %+v", places[0])
	}
}

// NaN and negative rates must not corrupt the averages.
func TestInvalidRatesAreIgnored(t *testing.T) {
	nan := 0.0
	nan /= nan
	demand, _ := New().Update(account, []Report{reportOf(0, 100, observe.PlaceLoad{SentRPS: nan}), reportOf(0, nan, observe.PlaceLoad{SentRPS: -1})}, nil, start)
	if len(demand) != 1 || demand[0].RPS != 100 {
		t.Fatalf("demand %+v", demand)
	}
}

// A place with flapping targets counts as failed until its targets have been
// usable for stableAfter.
func TestReturningTargetsCountAfterDelay(t *testing.T) {
	a := New()
	usable := func(second, targets int) int {
		load := observe.PlaceLoad{SentRPS: 100, Targets: targets, Known: 4}
		_, places := a.Update(account, []Report{reportOf(0, 100, load)}, nil, start.Add(time.Duration(second)*time.Second))
		return places[0].Usable - places[0].Unstable
	}
	if usable(0, 4) != 4 {
		t.Fatal("initial targets do not count as stable")
	}
	for second := 40; second < 200; second++ {
		targets := 4 * (second / 20 % 2)
		if got := usable(second, targets); got != 0 {
			t.Fatalf("second %d: %d stable targets", second, got)
		}
	}
	usable(205, 3)
	if usable(208, 4) != 0 || usable(209, 4) != 3 {
		t.Fatal("lasting targets do not count as stable")
	}
}

// Growing demand gets a margin for the delay until a plan takes effect; noise and
// falling demand get none.
func TestGrowthAddsDemandMargin(t *testing.T) {
	var r flowRate
	smooth, growth := 0.0, 0.0
	for second := range 100 {
		smooth, growth = r.add(500+10*float64(second), time.Second)
	}
	if ahead := smooth * (1 + growth); ahead < 1490 || ahead > 1600 {
		t.Fatalf("expected demand %.0f requests/s, was 1490 and grows by 10 per second", ahead)
	}
	for second := range 300 {
		noise := float64((second*7)%11-5) / 5 * 0.1
		_, growth = r.add(1000*(1+noise), time.Second)
		if second > 100 && growth > 0 {
			t.Fatalf("noise has a margin of %.3f", growth)
		}
	}
	if _, growth = r.add(10, time.Second); growth != 0 {
		t.Fatalf("falling demand has a margin of %.3f", growth)
	}
}

// A flow without requests has a known demand of 0. Unknown demand would reserve
// capacity that other flows need.
func TestIdleFlowHasZeroDemand(t *testing.T) {
	reports := []Report{{Age: 2 * time.Second}, {Age: 4 * time.Second}}
	demand, _ := New().Update(account, reports, nil, start)
	if len(demand) != 1 || demand[0].RPS != 0 || demand[0].Age != 3*time.Second {
		t.Fatalf("demand %+v", demand)
	}
	if demand, _ = New().Update(account, nil, nil, start); len(demand) != 0 {
		t.Fatalf("demand without reports: %+v", demand)
	}
}

// A single failure among few requests, or one second of failures, must not mark a
// place as failing; lasting failures must within three seconds.
func TestBriefFailuresAreSmoothed(t *testing.T) {
	a := New()
	second := 0
	share := func(sent, failed float64) float64 {
		second++
		load := observe.PlaceLoad{SentRPS: sent, FailureShare: failed, Targets: 4, Known: 4}
		_, places := a.Update(account, []Report{reportOf(0, sent, load)}, nil, start.Add(time.Duration(second)*time.Second))
		return places[0].FailureShare
	}
	if got := share(3, 0.34); got > 0.19 {
		t.Fatalf("failure share %.2f after one failure in three requests", got)
	}
	for range 60 {
		share(100, 0)
	}
	if got := share(100, 0.8); got > 0.19 {
		t.Fatalf("failure share %.2f after one second of failures", got)
	}
	share(100, 1)
	if got := share(100, 1); got < 0.45 {
		t.Fatalf("failure share %.2f after three seconds of failures", got)
	}
}

// Averages of places that a service has left must not accumulate in a long-running
// decider. A configured place without reports is kept.
func TestDropsRemovedPlaces(t *testing.T) {
	a := New()
	var configured *model.Account
	for i := range 100 {
		place := model.PlaceName(fmt.Sprintf("place-%d", i))
		configured = &model.Account{Services: []model.Service{{
			Name: "desk", Capacity: []model.PlaceCapacity{{Place: place, RPS: 100}},
		}}}
		r := reportOf(0, 100, observe.PlaceLoad{SentRPS: 100, Targets: 4, Known: 4, P99: 20 * time.Millisecond})
		r.Places[0].Place = place
		a.Update(configured, []Report{r}, nil, start.Add(time.Duration(i)*time.Minute))
	}
	a.Update(configured, nil, nil, start.Add(101*time.Minute))
	if len(a.cellRates) != 1 || len(a.warmP99) != 1 || len(a.stableFractions) != 1 {
		t.Errorf("kept %d rates, %d warm latencies, %d stable fractions of one place", len(a.cellRates), len(a.warmP99), len(a.stableFractions))
	}
}
