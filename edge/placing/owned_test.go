package placing

import (
	"testing"
	"time"
)

// Twenty-four VMs share sixty targets that are nearly full, and hear each other's counts
// every 0.3 s. When each VM decided on all keys, half of the callers were late or refused:
// the VMs filled the same targets at once, sent the overflow to others that had never seen
// the key, and none knew which targets another VM had made warm. The owner of a key has
// counted all of its requests itself.
func TestOwnersOfKeysFillTargetsWithoutOverflow(t *testing.T) {
	const vms, targets, keys = 24, 60, 240
	w := newSimulationFrom(t, simulationConfig{
		regions: map[string]int{"a": targets}, vms: vms, slots: 3, cold: 1100 * time.Millisecond, warmKeys: 8,
		objective: 800 * time.Millisecond, deadline: 5 * time.Second,
	})
	w.reportInterval = 300 * time.Millisecond
	w.routeByOwner = true
	for _, b := range w.balancers {
		b.SetKeyOwnerCount(vms)
	}
	w.load(20, keys, 14*time.Second)
	w.run(6 * time.Second)
	w.takeObjectiveShare()
	w.run(8 * time.Second)
	if share := w.takeObjectiveShare(); share < 0.85 {
		t.Errorf("%.2f of the requests met their objective", share)
	}
}

// A VM decides on three keys, and callers ask for one of them far more often than for the
// others. With two regions of equal weight it sent that one to both by turns, to a cold
// target each time. The weights hold over all VMs, whose keys are others.
func TestKeyKeepsItsRegionThoughItIsAskedForOften(t *testing.T) {
	const requests, perSecond, seldom = 600, 15, 8
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
		if i%seldom == 0 {
			r.Key = uint64(2 + i/seldom%2)
		}
		everywhere := func(string) bool { return true }
		region, _ := w.pick(r, b.tolerance, everywhere)
		if preferred, _ := w.preferredRegion(r.Key, everywhere); region != preferred {
			moved++
		}
		w.charge(region, b.tolerance)
	}
	if moved > requests/20 {
		t.Errorf("%d of %d requests left the region of their key", moved, requests)
	}
}
