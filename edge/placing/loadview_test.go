package placing

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// Guards against a view that lacks demand by allowed regions, requests in flight, the working set or the
// promises of an overloaded region, or that shows other demand than the plan uses.
func TestLoadShowsRestrictedRegion(t *testing.T) {
	sim := newSimulation(t, map[string]int{"a": 18, "b": 4, "c": 18}, 3, 4, 400*time.Millisecond, 0)
	sim.setPolicy(Policy{RegionPlan: true, Returns: true, PromisedShare: 0.5, WorkingSet: true, RotationPeriod: time.Minute})
	sim.load(75, 300, 10*time.Second)
	sim.loadRestricted("b", 40, 60, 10*time.Second)
	// Reports arrive at full multiples of their interval.
	sim.run(8*time.Second + 30*time.Millisecond)
	b := sim.balancers[0]
	regions, services, age := b.Load(sim.now)
	if len(regions) != 3 || len(services) != 1 || age <= 0 || age >= peerTTL {
		t.Fatalf("regions %v, %d services, report age %v", regions, len(services), age)
	}
	s := services[0]
	restricted, planned := 0.0, 0.0
	for _, d := range s.Demand {
		if len(d.AllowedRegions) == 1 && d.AllowedRegions[0] == "b" {
			restricted += d.DemandSlots
		}
	}
	for source, slots := range b.sourcesOf(sim.now, b.services[serviceName]) {
		if source.Allowed == 0b010 {
			planned += slots
		}
	}
	if restricted < 1 || math.Abs(restricted-planned) > 0.1 {
		t.Errorf("restricted demand of %v slots shown, %v planned", restricted, planned)
	}
	if len(s.Weights) != 2 || s.Weights[1].Weights["b"] != 1 {
		t.Errorf("weights %+v", s.Weights)
	}
	r := s.Regions[1]
	if r.Region != "b" || r.CapacitySlots <= 0 || r.InFlight < r.InFlightOfVM || r.InFlight == 0 {
		t.Errorf("%+v", r)
	}
	if r.Returns == nil || r.Returns.Promised == 0 || r.Returns.Pending+int(r.Returns.Kept+r.Returns.Lapsed) != int(r.Returns.Promised) {
		t.Errorf("returns %+v", r.Returns)
	}
	if r.WorkingSet == nil || len(r.WorkingSet.FractionByRank) != workingset.Ranks {
		t.Errorf("working set %+v", r.WorkingSet)
	}
}

// Guards against a view without demand or weights while all parts are off.
func TestLoadWithoutPolicy(t *testing.T) {
	sim := newSimulation(t, map[string]int{"a": 6, "b": 6}, 1, 4, 400*time.Millisecond, 0)
	sim.load(20, 50, 5*time.Second)
	sim.run(4 * time.Second)
	_, services, _ := sim.balancers[0].Load(sim.now)
	if len(services) != 1 {
		t.Fatalf("%+v", services)
	}
	s := services[0]
	if len(s.Demand) == 0 || len(s.Demand[0].AllowedRegions) != 2 || len(s.Weights) != 1 || len(s.Weights[0].Weights) == 0 {
		t.Errorf("%+v", s)
	}
	for _, r := range s.Regions {
		if r.CapacitySlots <= 0 || r.Returns != nil || r.WorkingSet != nil {
			t.Errorf("%+v", r)
		}
	}
}

// Guards against refusals that do not tell in whose favour they are: a request that starts must count with its
// account and rank in its own service and region, and one that waits or is refused must not.
func TestStartsOfAccounts(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(100*time.Millisecond)
	log := refusals.New(now)
	started, refused := 0, 0
	for i := range 200 {
		r := request(now, class)
		r.Account, r.AccountPriority, r.Priority = "y", 1, 2
		if i%20 == 19 {
			r.Account = "x"
		}
		d, _ := b.Place(now, r)
		switch {
		case d.Target != nil && r.Account == "y":
			started++
		case d.Target == nil && d.Reason == TooLate && r.Account == "x":
			refused++
			log.Count(now, refusals.Refusal{Service: r.Service, Region: d.Region, Account: r.Account, Reason: d.Reason.String()})
		}
	}
	if started == 0 || refused == 0 {
		t.Fatalf("%d started, %d refused", started, refused)
	}
	places := log.Places(now, func(service, region string, during *refusals.Seconds) []refusals.Started {
		return b.Starts(now, service, region, during)
	})
	want := []refusals.Started{{Rank: 6, Account: "y", Started: started}}
	if len(places) != 1 || places[0].Region != "a" || places[0].Refused != refused || !slices.Equal(places[0].Started, want) {
		t.Errorf("%+v, want %d refused and %+v", places, refused, want)
	}
	for _, other := range [][2]string{{serviceName, "b"}, {"unknown", "a"}} {
		if list := b.Starts(now, other[0], other[1], &refusals.Seconds{}); len(list) > 0 {
			t.Errorf("%v: %+v", other, list)
		}
	}
}
