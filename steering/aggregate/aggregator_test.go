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

// A node falls silent. Its callers are still there: its last rate stays in the
// sum, the sum's age grows with its part, and what it said of targets long ago
// no longer counts.
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

// One node's link to a place is down: it sees all targets gone. The place must
// not count as failed for the others.
func TestOneNodeWeighsItsPart(t *testing.T) {
	well := observe.PlaceLoad{SentRPS: 90, Targets: 4, Known: 4, P99: 20 * time.Millisecond}
	cut := observe.PlaceLoad{SentRPS: 10, Targets: 0, Known: 4, FailureShare: 1}
	_, places := New().Update(account, []Report{reportOf(0, 1, well), reportOf(0, 1, well), reportOf(0, 1, well), reportOf(0, 1, cut)}, nil, start)
	if p := places[0]; p.Usable != 12 || p.Known != 16 || p.FailureShare > 0.04 || p.P99 != 20*time.Millisecond {
		t.Fatalf("place %+v", p)
	}
}

// A failure domain is lost with its entry VM. The VM list shows it to the other
// nodes, the lost node's last report still lists all targets. Counted by what
// is listed, the place reads as whole until that report is too old, and callers
// are refused for half a minute before any work moves.
func TestLostNodeDoesNotKeepItsPlace(t *testing.T) {
	lost := reportOf(10*time.Second, 1, observe.PlaceLoad{SentRPS: 90, Targets: 4, Known: 4})
	other := reportOf(0, 1, observe.PlaceLoad{})
	_, places := New().Update(account, []Report{lost, other, other, other}, nil, start)
	if p := places[0]; p.Usable != 4 || p.Known != 16 || p.Empty {
		t.Fatalf("place %+v", p)
	}
	_, places = New().Update(account, []Report{other, other, other}, nil, start)
	if p := places[0]; !p.Empty {
		t.Fatalf("place %+v, want it empty", p)
	}
}

// The latency right after an increase is that of cold caches. Taken for the
// warm one, it would hide that the place is slow.
func TestWarmLatencyLeavesOutIncreases(t *testing.T) {
	b := New()
	load := observe.PlaceLoad{SentRPS: 100, Targets: 4, Known: 4, P99: 20 * time.Millisecond}
	b.Update(account, []Report{reportOf(0, 100, load)}, nil, start)
	load.P99 = 90 * time.Millisecond
	rise := []steering.Move{{Service: "desk", Caller: "seoul", Place: "a", Delta: 1000, Age: 5 * time.Second}}
	_, places := b.Update(account, []Report{reportOf(0, 100, load)}, rise, start.Add(10*time.Second))
	if places[0].WarmP99 != 20*time.Millisecond || places[0].P99 < 80*time.Millisecond {
		t.Fatalf("place %+v", places[0])
	}
	rise[0].Age = time.Hour
	_, places = b.Update(account, []Report{reportOf(0, 100, load)}, rise, start.Add(10*time.Minute))
	if places[0].WarmP99 < 85*time.Millisecond {
		t.Fatalf("a place that stays slow keeps the old measure: %+v", places[0])
	}
}

// A rate that is no number must not spoil the sum for ever.
func TestInvalidRatesAreLeftOut(t *testing.T) {
	nan := 0.0
	nan /= nan
	demand, _ := New().Update(account, []Report{reportOf(0, 100, observe.PlaceLoad{SentRPS: nan}), reportOf(0, nan, observe.PlaceLoad{SentRPS: -1})}, nil, start)
	if len(demand) != 1 || demand[0].RPS != 100 {
		t.Fatalf("demand %+v", demand)
	}
}

// The targets of a place go and come every 20 s. Work that the cap could not
// take away in one failure must not wait there for the next one: the place
// counts as failed until its targets have stayed for half a minute.
func TestComingTargetsAreBelievedLate(t *testing.T) {
	b := New()
	usable := func(second, targets int) int {
		load := observe.PlaceLoad{SentRPS: 100, Targets: targets, Known: 4}
		_, places := b.Update(account, []Report{reportOf(0, 100, load)}, nil, start.Add(time.Duration(second)*time.Second))
		return places[0].Usable - places[0].Unsteady
	}
	if usable(0, 4) != 4 {
		t.Fatal("the first reading does not count")
	}
	for second := 40; second < 200; second++ {
		targets := 4 * (second / 20 % 2)
		if got := usable(second, targets); got != 0 {
			t.Fatalf("second %d: %d targets relied on", second, got)
		}
	}
	usable(205, 3)
	if usable(208, 4) != 0 || usable(209, 4) != 3 {
		t.Fatal("targets that stayed half a minute are not relied on")
	}
}

// At dawn demand grows by the second, and a plan for what was measured is late
// by a report, a decision and a step. The margin covers that time; noise and
// a demand that falls have none.
func TestGrowthWidensTheDemand(t *testing.T) {
	var r rate
	smooth, growth := 0.0, 0.0
	for second := range 100 {
		smooth, growth = r.add(500+10*float64(second), time.Second)
	}
	if ahead := smooth * (1 + growth); ahead < 1490 || ahead > 1600 {
		t.Fatalf("expects %.0f requests/s, was 1490 and grows by 10 a second", ahead)
	}
	for second := range 300 {
		noise := float64((second*7)%11-5) / 5 * 0.1
		_, growth = r.add(1000*(1+noise), time.Second)
		if second > 100 && growth > 0 {
			t.Fatalf("noise of a tenth has a margin of %.3f", growth)
		}
	}
	if _, growth = r.add(10, time.Second); growth != 0 {
		t.Fatalf("falling demand has a margin of %.3f", growth)
	}
}

// A service has one request in ten seconds. In the quiet ones no node names
// it, and that is no unknown demand: unknown counts as a large part of the
// capacity, and would draw room from the others each time.
func TestQuietFlowIsKnownToBeQuiet(t *testing.T) {
	reports := []Report{{Age: 2 * time.Second}, {Age: 4 * time.Second}}
	demand, _ := New().Update(account, reports, nil, start)
	if len(demand) != 1 || demand[0].RPS != 0 || demand[0].Age != 3*time.Second {
		t.Fatalf("demand %+v", demand)
	}
	if demand, _ = New().Update(account, nil, nil, start); len(demand) != 0 {
		t.Fatalf("demand without any report: %+v", demand)
	}
}

// One of three requests in a quiet hour fails, or a second goes wrong. Neither
// makes a place look bad; failures that last do within three seconds.
func TestFewFailuresTellLittle(t *testing.T) {
	b := New()
	second := 0
	share := func(sent, failed float64) float64 {
		second++
		load := observe.PlaceLoad{SentRPS: sent, FailureShare: failed, Targets: 4, Known: 4}
		_, places := b.Update(account, []Report{reportOf(0, sent, load)}, nil, start.Add(time.Duration(second)*time.Second))
		return places[0].FailureShare
	}
	if got := share(3, 0.34); got > 0.19 {
		t.Fatalf("one of three requests reads %.2f", got)
	}
	for range 60 {
		share(100, 0)
	}
	if got := share(100, 0.8); got > 0.19 {
		t.Fatalf("a second of failures reads %.2f", got)
	}
	share(100, 1)
	if got := share(100, 1); got < 0.45 {
		t.Fatalf("three seconds of failures read %.2f", got)
	}
}

// Story: an operator moves a service from place to place all year, and the
// decider stays the same. What was averaged for places that the service has
// left would stay in memory for ever. A place that only falls silent is kept.
func TestForgetsPlacesThatAreGone(t *testing.T) {
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
	if len(a.cells) != 1 || len(a.warm) != 1 || len(a.steady) != 1 {
		t.Errorf("kept %d rates, %d warm latencies, %d steady parts of one place", len(a.cells), len(a.warm), len(a.steady))
	}
}
