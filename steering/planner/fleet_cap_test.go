package planner

import (
	"fmt"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// fleetCases let nodes fall behind the plan while callers switch between nodes.
var fleetCases = []struct {
	name string
	// exceedsCap is whether the cap is exceeded when lag is not charged.
	exceedsCap bool
	inject     func(f *fleet, second int)
}{
	{"callers switch nodes at random", false, func(f *fleet, s int) {
		for range 4 {
			f.nodeOf[f.random.IntN(callerGroups)] = f.random.IntN(len(f.nodes))
		}
	}},
	{"a VM fails and is replaced", false, func(f *fleet, s int) {
		i := s / 40 % len(f.nodes)
		switch s % 40 {
		case 10:
			f.nodes[i].paused = true
			f.moveCallers(i, (i+1)%len(f.nodes))
		case 20:
			f.replace(i)
			f.returnCallers(i)
		}
	}},
	{"a VM is paused for 25 s", true, func(f *fleet, s int) {
		i := s / 60 % len(f.nodes)
		switch s % 60 {
		case 10:
			f.nodes[i].paused = true
			f.moveCallers(i, (i+1)%len(f.nodes))
		case 35:
			f.nodes[i].paused = false
			f.returnCallers(i)
		}
	}},
	{"a VM is partitioned from the decider for 40 s", true, partitionNode},
	{"a VM is partitioned, the decider changes", true, func(f *fleet, s int) {
		if s%90 == 25 {
			f.takeover()
		}
		partitionNode(f, s)
	}},
}

func partitionNode(f *fleet, s int) {
	i := s / 90 % len(f.nodes)
	switch s % 90 {
	case 10:
		f.nodes[i].partitioned = true
	case 48:
		f.moveCallers(i, (i+1)%len(f.nodes))
	case 50:
		f.nodes[i].partitioned = false
		f.nodes[i].inbox = append(f.nodes[i].inbox, delivery{f.now, f.currentPlan})
		f.returnCallers(i)
	}
}

// returnCallers moves the initial callers of a node back to it.
func (f *fleet) returnCallers(i int) {
	for g := i; g < callerGroups; g += len(f.nodes) {
		f.nodeOf[g] = i
	}
}

// Callers that switch between a VM behind the plan and an up-to-date one must not
// move more of the traffic than the cap, although no VM exceeds it by itself.
func TestFleetStaysUnderCap(t *testing.T) {
	for _, nodes := range []int{3, 8} {
		for _, c := range fleetCases {
			t.Run(fmt.Sprint(nodes, " VMs, ", c.name), func(t *testing.T) {
				t.Parallel()
				before, after := newFleet(nodes, false, 1), newFleet(nodes, true, 1)
				before.simulate(c.inject)
				after.simulate(c.inject)
				t.Logf("without charged lag: %s, with it: %s", before, after)
				if c.exceedsCap != before.exceedsCap() {
					t.Errorf("without charged lag: %s", before)
				}
				if after.exceedsCap() {
					t.Errorf("with charged lag: %s", after)
				}
			})
		}
	}
}

// exceedsCap reports whether more than the cap moved, beyond rounding errors.
func (f *fleet) exceedsCap() bool { return f.maxMoved > fleetLimits.Share+1e-9 }

func (f *fleet) String() string {
	return fmt.Sprintf("at most %.4f moved in a window and %.2f in total", f.maxMoved, float64(f.totalMoved)/plan.Whole)
}

// The cap must hold under random pauses, partitions, VM failures, decider changes
// and callers that switch nodes. In seed 36 callers crowd to a VM that is
// partitioned before the decider changes, for longer than moves are remembered.
func TestFleetStaysUnderCapInRandomFaults(t *testing.T) {
	exceeded := 0
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 36} {
		nodes := 3 + int(seed%6)
		before, after := newFleet(nodes, false, seed), newFleet(nodes, true, seed)
		before.simulate(randomFaults)
		after.simulate(randomFaults)
		t.Logf("seed %d, %d VMs: without charged lag: %s, with it: %s", seed, nodes, before, after)
		if after.exceedsCap() {
			t.Errorf("seed %d: %s", seed, after)
		}
		if before.exceedsCap() {
			exceeded++
		}
	}
	if exceeded == 0 {
		t.Error("no seed exceeds the cap without charged lag")
	}
}

func randomFaults(f *fleet, _ int) {
	i := f.random.IntN(len(f.nodes))
	n := f.nodes[i]
	switch f.random.IntN(40) {
	case 5:
		if f.random.IntN(3) == 0 {
			f.takeover()
		}
	case 0:
		n.paused = !n.paused
	case 1:
		n.partitioned = !n.partitioned
		if !n.partitioned {
			n.inbox = append(n.inbox, delivery{f.now, f.currentPlan})
		}
	case 2:
		f.replace(i)
	case 3:
		f.moveToUpToDateNode(i)
	case 4:
		f.returnCallersThatFit(i)
	}
	if n.paused {
		f.moveToUpToDateNode(i)
	}
}

// The cap must hold when all callers crowd to a partitioned VM just before the
// decider changes, though its last report contains few callers. Its grants bound
// what it serves.
func TestCrowdAtASilentVMStaysUnderCap(t *testing.T) {
	for _, seed := range []uint64{16, 152, 309} {
		nodes := 3 + int(seed%6)
		before, after := newFleet(nodes, true, seed), newFleet(nodes, true, seed)
		before.capacity, after.capacity = 10*callerGroups, 10*callerGroups
		after.exposeGrants = true
		before.simulate(crowdFaults)
		after.simulate(crowdFaults)
		t.Logf("seed %d: without grants: %s, with grants: %s", seed, before, after)
		if after.exceedsCap() {
			t.Errorf("seed %d: %s", seed, after)
		}
		if !before.exceedsCap() {
			t.Errorf("seed %d: the cap holds without grants too: %s", seed, before)
		}
	}
}

func crowdFaults(f *fleet, s int) {
	if f.random.IntN(120) == 0 {
		to := f.random.IntN(len(f.nodes))
		for from := range f.nodes {
			f.moveCallers(from, to)
		}
		f.takeover()
	}
	randomFaults(f, s)
}

// moveToUpToDateNode moves the callers of a node to one that has applied the current
// plan and has capacity left, as the charge does not cover callers that crowd to a
// lagging node.
func (f *fleet) moveToUpToDateNode(i int) {
	for _, j := range f.random.Perm(len(f.nodes)) {
		n := f.nodes[j]
		if _, sequence := n.stepper.AppliedVersion(); j != i && !n.paused && !n.partitioned && sequence == f.currentPlan.Sequence && f.fits(i, j) {
			f.moveCallers(i, j)
			return
		}
	}
}

// fits reports whether two nodes together have at most twice the mean number of
// callers.
func (f *fleet) fits(i, j int) bool {
	callers := 0
	for _, node := range f.nodeOf {
		if node == i || node == j {
			callers++
		}
	}
	return callers*len(f.nodes) <= 2*callerGroups
}

// returnCallersThatFit moves initial callers back to a node while they fit.
func (f *fleet) returnCallersThatFit(i int) {
	for g := i; g < callerGroups && f.fits(i, i); g += len(f.nodes) {
		f.nodeOf[g] = i
	}
}
