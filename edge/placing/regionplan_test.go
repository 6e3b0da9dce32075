package placing

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

// setPolicy selects optional decisions of all VMs before the first request.
func (sim *simulation) setPolicy(p Policy) {
	for _, b := range sim.balancers {
		b.options.Policy = p
		b.names = namesOf(b.options)
	}
}

// restrictedAccount is the account of requests that may run in a single region.
const restrictedAccount = "restricted"

// loadRestricted sends requests of restrictedAccount that may run in one region only.
func (sim *simulation) loadRestricted(region string, perSecond float64, keys int, d time.Duration) {
	for i := range sim.balancers {
		end := sim.now.Add(d)
		var next func()
		next = func() {
			if sim.now.After(end) {
				return
			}
			sim.result.sent++
			sim.place(i, &Request{
				Service: serviceName, Class: sim.classes[i], Account: restrictedAccount,
				Allowed: func(to string) bool { return to == region },
				Key:     HashOf(fmt.Sprint("restricted-", sim.random.IntN(keys))), HasKey: true,
				Objective: sim.now.Add(sim.objective), Deadline: sim.now.Add(sim.deadline),
			})
			sim.schedule(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		sim.schedule(time.Duration(sim.random.Float64()/perSecond*float64(time.Second)), next)
	}
}

// accountShares counts the requests that met their objective, by account.
type accountShares struct{ all, inObjective map[string]int }

func (sim *simulation) countAccounts() *accountShares {
	c := &accountShares{make(map[string]int), make(map[string]int)}
	sim.ended = func(r *Request, inObjective bool) {
		c.all[r.Account]++
		if inObjective {
			c.inObjective[r.Account]++
		}
	}
	return c
}

// take returns the fraction of an account's requests that met their objective since the last call.
func (c *accountShares) take(account string) float64 {
	share := float64(c.inObjective[account]) / float64(max(1, c.all[account]))
	c.all[account], c.inObjective[account] = 0, 0
	return share
}

// smallRegionShares replays an account that may run only in region b, which has a tenth of the targets
// and a third of the callers, beside others that may run anywhere. It returns the fractions of requests
// that met their objective.
func smallRegionShares(t *testing.T, policy Policy, perSecond float64, keys int) (restricted, others float64) {
	sim := newSimulation(t, map[string]int{"a": 18, "b": 4, "c": 18}, 3, 4, 400*time.Millisecond, 0)
	sim.setPolicy(policy)
	sim.load(75, 300, 20*time.Second)
	sim.loadRestricted("b", perSecond, keys, 20*time.Second)
	sim.run(10 * time.Second)
	counts := sim.countAccounts()
	sim.run(10 * time.Second)
	return counts.take(restrictedAccount), counts.take("")
}

// Guards against requests that can run elsewhere and fill the only region in which others can run. The
// account's demand is three quarters of the slots of that region; with more keys than the targets keep,
// half of the slots if its runs were warm.
func TestRestrictedAccountGetsItsRegion(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		keys      int
		want      float64
	}{{11, 60, 0.9}, {6, 150, 0.55}} {
		beforeRestricted, beforeOthers := smallRegionShares(t, Policy{}, c.perSecond, c.keys)
		restricted, others := smallRegionShares(t, Policy{RegionPlan: true}, c.perSecond, c.keys)
		t.Logf("%d keys: restricted %.3f, others %.3f; without the plan %.3f, %.3f", c.keys, restricted, others, beforeRestricted, beforeOthers)
		if restricted < c.want || beforeRestricted > restricted-0.2 || others < beforeOthers {
			t.Errorf("%d keys: the plan does not serve the restricted account, or does so at the cost of others", c.keys)
		}
	}
}

// Guards against a plan that moves more than what may change region between two windows of two seconds,
// while the restricted account starts and when it stops. Weights decide where requests should run;
// where they do run changes more when region b refuses some of them, with and without the plan.
func TestRegionPlanShiftsSlowly(t *testing.T) {
	const maxShift = 0.15
	moved := func(policy Policy) (byWeight, byArrival float64) {
		sim := newSimulation(t, map[string]int{"a": 18, "b": 4, "c": 18}, 3, 4, 400*time.Millisecond, 0)
		sim.setPolicy(policy)
		sim.load(75, 300, 34*time.Second)
		sim.run(10 * time.Second)
		sim.loadRestricted("b", 11, 60, 12*time.Second)
		last := make([]map[string]float64, len(sim.balancers))
		for range 12 {
			sim.run(2 * time.Second)
			for i, b := range sim.balancers {
				weights := b.services[serviceName].weights.weight
				if last[i] != nil {
					byWeight = max(byWeight, distance(last[i], weights))
				}
				last[i] = weights
			}
		}
		for at, window := range sim.result.regions {
			for _, region := range []string{"a", "b", "c"} {
				if next := sim.result.regions[at+1]; next != nil && int64(at) > time.Unix(1000, 0).Unix()/2 {
					byArrival = max(byArrival, movedBetween(window, next, region))
				}
			}
		}
		return byWeight, byArrival
	}
	_, arrivalsBefore := moved(Policy{})
	weights, arrivals := moved(Policy{RegionPlan: true})
	t.Logf("by weight %.3f, by arrivals %.3f, without the plan %.3f", weights, arrivals, arrivalsBefore)
	if weights > maxShift || arrivals > max(maxShift, arrivalsBefore) {
		t.Error("requests change region too fast")
	}
}

// distance returns the fraction of requests that change region between two weights.
func distance(a, b map[string]float64) float64 {
	total := 0.0
	for _, region := range regionsOf(a, b) {
		total += math.Abs(a[region]-b[region]) / 2
	}
	return total
}

// planBalancer returns a balancer in region a with 10, 2 and 10 targets of one slot in regions a to c.
func planBalancer(now time.Time, region string) *Balancer {
	b := New(Options{
		VM: "vm", Zone: region + "1", Region: region, RegionOf: map[string]string{"a1": "a", "b1": "b", "c1": "c"},
		RTT: func(string) time.Duration { return time.Millisecond }, Policy: Policy{RegionPlan: true},
	})
	var list []TargetSpec
	for zone, targets := range map[string]int{"a1": 10, "b1": 2, "c1": 10} {
		for i := range targets {
			l := listing(fmt.Sprint(zone, i))
			l.Zone = zone
			list = append(list, l)
		}
	}
	b.SetTargets(now, services(0), list, nil)
	return b
}

// peerDemand returns a report that sums demand over several VMs of a region.
func peerDemand(now time.Time, region string, total float64, restricted map[uint32]float64) *PeerReport {
	return &PeerReport{
		Demand:     map[string]map[string]float64{region: {serviceName: total}},
		Restricted: map[string]RestrictedDemand{region: {serviceName: restricted}}, At: now, Aggregated: true,
	}
}

// plannedFor returns the weights that are planned for the callers of a VM.
func plannedFor(now time.Time, b *Balancer) map[string]float64 {
	s := b.services[serviceName]
	s.resetLoads()
	capacity := make(map[string]float64)
	for region := range s.regions {
		capacity[region] = s.slots(now, region)
	}
	s.demand.decay(now)
	if planned, ok := b.stepPlan(now, s, b.names.all(), capacity, baseShiftRate); ok {
		return planned
	}
	return planWeights(b.options.Region, b.demandOf(now, s), capacity)
}

const (
	onlyB = uint32(0b010)
	// enoughAge is long enough for a new plan, and shorter than peerTTL.
	enoughAge = regionPlanInterval
)

// Guards against a plan that differs from that of earlier versions while no demand is restricted.
func TestRegionPlanEqualsPlanWeightsWithoutRestrictedDemand(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		capacity, demand := make(map[string]float64), make(map[string]float64)
		var slots []float64
		sources := make(map[regionplan.Source]float64)
		for i, name := range names {
			capacity[name] = rapid.Float64Range(1, 200).Draw(t, "capacity")
			demand[name] = rapid.Float64Range(0.01, 300).Draw(t, "demand")
			slots = append(slots, capacity[name])
			sources[regionplan.Source{Region: i, Allowed: regionplan.All(len(names))}] = demand[name]
		}
		plan := regionplan.Compute(slots, sources)
		for i, own := range names {
			want := planWeights(own, demand, capacity)
			for j, to := range names {
				if got := plan[regionplan.Source{Region: i, Allowed: regionplan.All(len(names))}][j]; math.Abs(got-want[to]) > 1e-6 {
					t.Fatalf("%s to %s: %v, planWeights %v", own, to, got, want[to])
				}
			}
		}
	})
}

// Guards against other decisions than without the part while no demand is restricted: the same load
// must be placed alike.
func TestRegionPlanChangesNothingWithoutRestrictedDemand(t *testing.T) {
	replay := func(policy Policy) map[int]map[string]float64 {
		sim := newSimulation(t, map[string]int{"a": 10, "b": 2, "c": 8}, 2, 4, 480*time.Millisecond, 0)
		sim.setPolicy(policy)
		sim.load(25, 60, 6*time.Second)
		sim.run(6 * time.Second)
		return sim.result.regions
	}
	if with, without := replay(Policy{RegionPlan: true}), replay(Policy{}); !maps.EqualFunc(with, without, maps.Equal[map[string]float64]) {
		t.Errorf("placed %v, without the plan %v", with, without)
	}
}

// Guards against a plan that keeps sending requests to a region that lost all targets, or follows the loss
// only after the interval without losses, and against one
// that refuses those that may run only there and elsewhere.
func TestRegionPlanAfterALostRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "a")
	b.SetPeerReport(now, "peers", peerDemand(now, "a", 8, map[uint32]float64{0b110: 3}))
	if planned := plannedFor(now, b); planned["a"] < 0.99 {
		t.Errorf("before the loss: %v", planned)
	}
	b.SetReached(now, serviceName, "c", false)
	now = now.Add(lossPlanInterval)
	if planned := plannedFor(now, b); planned["c"] != 0 || planned["b"] > 0.01 {
		t.Errorf("after the loss: %v; b is left to the source that lost c", planned)
	}
	fractions := regionplan.Compute([]float64{10, 2, 0}, b.sourcesOf(now, b.services[serviceName]))[regionplan.Source{Region: 0, Allowed: 0b110}]
	if fractions[1] != 1 {
		t.Errorf("the source that may run in b and c: %v", fractions)
	}
}

// Guards against a VM that leaves a region to demand that nobody has reported for longer than reports
// are valid.
func TestRegionPlanDropsOutdatedDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "b")
	b.SetPeerReport(now, "peers", peerDemand(now, "b", 3, map[uint32]float64{onlyB: 2}))
	if planned := plannedFor(now, b); planned["b"] > 0.01 {
		t.Errorf("while reported: %v", planned)
	}
	if planned := plannedFor(now.Add(peerTTL), b); planned["b"] != 1 {
		t.Errorf("after the reports expired: %v", planned)
	}
}

// Guards against a partition of the fleet in which a half plans with demand that it no longer hears of,
// or does not return to the common plan afterwards.
func TestRegionPlanInAPartition(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := planBalancer(now, "b"), planBalancer(now, "b")
	exchange := func(connected bool) {
		one.SetPeerReport(now, "near", peerDemand(now, "b", 1, nil))
		other.SetPeerReport(now, "near", peerDemand(now, "b", 3, map[uint32]float64{onlyB: 2}))
		if connected {
			one.SetPeerReport(now, "far", peerDemand(now, "b", 3, map[uint32]float64{onlyB: 2}))
			other.SetPeerReport(now, "far", peerDemand(now, "b", 1, nil))
		}
	}
	exchange(true)
	together, same := plannedFor(now, one), plannedFor(now, other)
	if !maps.Equal(together, same) || together["b"] > 0.01 {
		t.Errorf("connected: %v and %v", together, same)
	}
	for range 2 {
		now = now.Add(peerTTL)
		exchange(false)
	}
	if alone, with := plannedFor(now, one), plannedFor(now, other); alone["b"] != 1 || with["b"] > 0.01 {
		t.Errorf("in a partition: %v without the restricted demand, %v with it", alone, with)
	}
	now = now.Add(enoughAge)
	exchange(true)
	if again := plannedFor(now, one); !maps.Equal(again, together) {
		t.Errorf("connected again: %v, before %v", again, together)
	}
}

// Guards against reports of other versions or malformed ones: sets of unknown regions, of all regions
// or of none, more restricted demand than there is in all, and values that are no numbers.
func TestRegionPlanIgnoresInvalidSets(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "b")
	invalid := map[uint32]float64{0: 2, 0b111: 2, 0b1000: 2, onlyB: math.NaN(), 0b011: math.Inf(1), 0b110: -4}
	b.SetPeerReport(now, "peers", peerDemand(now, "b", 3, invalid))
	s := b.services[serviceName]
	all := regionplan.Source{Region: 1, Allowed: 0b111}
	if demand := b.sourcesOf(now, s); len(demand) != 1 || demand[all] != 3 {
		t.Errorf("%v", demand)
	}
	b.SetPeerReport(now, "peers", peerDemand(now, "b", 3, map[uint32]float64{onlyB: 50}))
	if demand := b.sourcesOf(now, s); demand[all] != 0 || demand[regionplan.Source{Region: 1, Allowed: 0b010}] != 3 {
		t.Errorf("%v", demand)
	}
}

// Guards against restricted demand that is counted twice or lost on its way through sums of regions.
func TestRestrictedDemandInSums(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "a")
	class := NewClass(time.Second)
	r := request(now, class)
	r.Allowed = func(region string) bool { return region == "b" }
	b.Place(now, r)
	own := b.ReportRestricted(now)[serviceName][onlyB]
	b.Report(now)
	peer := peerDemand(now, "a", 3, map[uint32]float64{onlyB: 2})
	peer.Aggregated = false
	b.SetPeerReport(now, "peer", peer)
	b.SetPeerReport(now, "far", peerDemand(now, "c", 3, map[uint32]float64{onlyB: 1}))
	sums := b.RestrictedRegionSums(now)
	if got := sums[serviceName][onlyB]; own <= 0 || math.Abs(got-own-2) > 1e-9 {
		t.Errorf("sum %v, own %v", got, own)
	}
	if got := b.RestrictedOtherRegionSums(now)["c"][serviceName][onlyB]; got != 1 {
		t.Errorf("other regions: %v", got)
	}
	b.SetRegionSums(now, "peer", nil, map[string]float64{serviceName: 10}, sums)
	source := regionplan.Source{Region: 0, Allowed: 0b010}
	if got := b.sourcesOf(now, b.services[serviceName])[source]; math.Abs(got-own-2) > 1e-6 {
		t.Errorf("demand %v, own %v", got, own)
	}
}

// Guards against a status, and so a gauge of demand, that lacks demand by sets which only other VMs use.
func TestRegionPlansListSetsOfOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "a")
	b.SetPeerReport(now, "peers", peerDemand(now, "b", 5, map[uint32]float64{onlyB: 2}))
	total, listed := 0.0, 0
	for _, p := range b.RegionPlans(now) {
		total += p.Demand["b"]
		if !p.Restricted {
			continue
		}
		listed++
		if len(p.Regions) != 1 || p.Regions[0] != "b" || p.Demand["b"] != 2 || p.Weights != nil || p.Planned != nil {
			t.Errorf("%+v", p)
		}
	}
	if listed != 1 || total != 5 {
		t.Errorf("%d restricted sets, demand %v in all", listed, total)
	}
	for _, p := range b.RegionPlans(now.Add(peerTTL)) {
		if p.Restricted {
			t.Errorf("after the report expired: %+v", p)
		}
	}
}

// Guards against demand of a source that seems larger because of requests without a key, which count with
// their cold time anyway, or because of retries.
func TestRegionPlanCountsColdRunsOfFirstKeyedRequests(t *testing.T) {
	for _, c := range []struct{ keyed, retry, counted bool }{{true, false, true}, {false, false, false}, {true, true, false}} {
		now := time.Unix(1000, 0)
		b := planBalancer(now, "a")
		r := request(now, NewClass(time.Second))
		r.Allowed = func(region string) bool { return region == "b" }
		b.Place(now, r)
		source := b.services[serviceName].plan.restricted[regionplan.Set(onlyB)]
		r.Key, r.HasKey, r.AlreadyCounted = 7, c.keyed, c.retry
		before := source.cold
		if d, _ := b.Place(now, r); d.Target == nil {
			t.Fatalf("%+v: not placed", c)
		}
		if counted := source.cold != before; counted != c.counted {
			t.Errorf("%+v: cold fraction from %v to %v", c, before, source.cold)
		}
	}
}

// Guards against a plan that depends on the order of a map, so that VMs with equal reports plan
// differently, when the restricted demand exceeds the total.
func TestRegionPlanScalesRestrictedDemandToTheTotal(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "b")
	b.SetPeerReport(now, "peers", peerDemand(now, "b", 3, map[uint32]float64{onlyB: 2, 0b011: 4, 0b110: 6}))
	first := b.sourcesOf(now, b.services[serviceName])
	for set, want := range map[regionplan.Set]float64{0b010: 0.5, 0b011: 1, 0b110: 1.5, 0b111: 0} {
		if got := first[regionplan.Source{Region: 1, Allowed: set}]; math.Abs(got-want) > 1e-9 {
			t.Errorf("set %b: %v, want %v", set, got, want)
		}
	}
	for range 100 {
		if again := b.sourcesOf(now, b.services[serviceName]); !maps.Equal(first, again) {
			t.Fatalf("%v, then %v", first, again)
		}
	}
}

// Guards against work for each request that grows with the number of sets, and against weights that jump
// at the first request of a set after a pause.
func TestRegionPlanStepsOnlyTheRequestedSet(t *testing.T) {
	now := time.Unix(1000, 0)
	b := planBalancer(now, "a")
	place := func(regions ...string) {
		r := request(now, NewClass(time.Second))
		r.Allowed = func(region string) bool { return slices.Contains(regions, region) }
		b.Place(now, r)
	}
	place("a", "b")
	place("b", "c")
	restricted := b.services[serviceName].plan.restricted
	paused, used := restricted[0b011], restricted[0b110]
	before := maps.Clone(paused.weights.weight)
	// The plan moves the paused set to region b.
	b.SetReached(now, serviceName, "a", false)
	now = now.Add(5 * time.Second)
	place("b", "c")
	if used.weights.at != now || paused.weights.at == now || !maps.Equal(paused.weights.weight, before) {
		t.Errorf("weights of the paused set moved from %v to %v", before, paused.weights.weight)
	}
	place("a", "b")
	if moved := distance(before, paused.weights.weight); moved <= 0 || moved > lossShiftRate {
		t.Errorf("moved %v after a pause of 5 s", moved)
	}
}
