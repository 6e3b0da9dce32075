package placing

import (
	"testing"
	"time"
)

// With many VMs, nearly full targets and infrequent reports, requests must meet their
// objective if the owner of a key places all of its requests.
func TestKeyOwnersFillTargetsWithoutOverflow(t *testing.T) {
	const vms, targets, keys = 24, 60, 240
	sim := newSimulationFrom(t, simulationConfig{
		regions: map[string]int{"a": targets}, vms: vms, slots: 3, cold: 1100 * time.Millisecond, warmKeys: 8,
		objective: 800 * time.Millisecond, deadline: 5 * time.Second,
	})
	sim.reportInterval = 300 * time.Millisecond
	sim.routeByOwner = true
	for _, b := range sim.balancers {
		b.SetKeyOwnerCount(vms)
	}
	sim.load(20, keys, 14*time.Second)
	sim.run(6 * time.Second)
	sim.takeObjectiveShare()
	sim.run(8 * time.Second)
	if share := sim.takeObjectiveShare(); share < 0.85 {
		t.Errorf("%.2f of the requests met their objective", share)
	}
}

// A popular key must stay in its region even if the VM owns too few keys to follow the
// region weights.
func TestPopularKeyKeepsItsRegion(t *testing.T) {
	const requests, perSecond, rareEvery = 600, 15, 8
	now := time.Unix(1000, 0)
	b := newBalancer(now)
	b.SetKeyOwnerCount(24)
	var w regionWeights
	w.initialize(now, "a", map[string]float64{"a": 1, "b": 1})
	w.weight = map[string]float64{"a": 0.5, "b": 0.5}
	moved := 0
	for i := range requests {
		now = now.Add(time.Second / perSecond)
		w.accrue(now)
		r := &Request{Key: 1, HasKey: true}
		if i%rareEvery == 0 {
			r.Key = uint64(2 + i/rareEvery%2)
		}
		everywhere := func(string) bool { return true }
		region, _ := w.pick(r, b.tolerance, everywhere)
		if preferred, _ := w.preferredRegion(r.Key, everywhere); region != preferred {
			moved++
		}
		w.charge(region, b.tolerance)
	}
	if moved > requests/20 {
		t.Errorf("%d of %d requests left the preferred region of their key", moved, requests)
	}
}
