package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sparseLoad is the load of the region as a multiple of what it can serve once its targets are warm. They
// begin cold and can then serve a third of that.
const sparseLoad = 0.7

// newSparseReturnReplay returns a replay of 60 VMs in three regions, of which one with two targets alone may
// run the requests. Counts of other VMs are up to 0.1 s old.
func newSparseReturnReplay(t *testing.T, seed uint64) *returnReplay {
	sim := newSimulationFrom(t, simulationConfig{
		regions: map[string]int{"a": 2, "b": 6, "c": 6}, vms: 20, slots: 9, cold: 1080 * time.Millisecond, warmKeys: 40,
		objective: 800 * time.Millisecond, deadline: 5 * time.Second, policy: Policy{Returns: true, PromisedShare: 0.5},
	})
	sim.random = rand.New(rand.NewPCG(7, seed))
	sim.pollInterval = 5 * time.Millisecond
	sim.reportInterval, sim.reportGroups = 25*time.Millisecond, 4
	p := &returnReplay{
		simulation: sim, callers: make(map[*Request]*returnCaller), sent: make(map[bool]int), served: make(map[bool]int), refused: make(map[int64]int),
		keys: 40, load: sparseLoad, capacity: 18,
	}
	sim.decided = p.decide
	return p
}

// A region with two targets alone may run requests that 60 VMs place, as for the permits of the booking
// platform. A caller that comes back when told must not wait at its VM while other VMs take each slot
// that becomes free, until it is refused as too late.
func TestReturnsToFewTargetsOfManyVMs(t *testing.T) {
	cameBack, served, inObjective, late, failed := 0, 0, 0, 0, 0
	for seed := range uint64(3) {
		p := newSparseReturnReplay(t, 7+seed)
		for range 4 {
			p.play(5 * time.Second)
		}
		p.log()
		cameBack, served = cameBack+p.cameBack, served+p.servedReturns
		inObjective, late, failed = inObjective+p.result.inObjective, late+p.result.late, failed+p.result.failed
	}
	t.Logf("%d of %d who came back when told served; %d answers within the objective, %d late, %d after the deadline",
		served, cameBack, inObjective, late, failed)
	if 10*served < 9*cameBack || cameBack < 300 {
		t.Errorf("%d of %d callers who came back when told were served", served, cameBack)
	}
}
