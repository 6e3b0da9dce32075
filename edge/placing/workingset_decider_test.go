package placing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// deciders plays the VMs of one region that agree on a working set, without requests: one source reports
// the load of the admitted keys, which is twice what the region carries if all are admitted.
type deciders struct {
	now time.Time
	vms []*Balancer
	// frozen VMs do nothing, and their clocks stand still. behind is how far the clock of a VM is behind now.
	frozen map[int]bool
	behind [deciderVMs]time.Duration
	// reaches tells whether reports of a VM reach another one; nil means all.
	reaches func(from, to int) bool
	// heard is when a VM last heard another one.
	heard [][]time.Time
	steps int
	// load is that of all keys in slots.
	load float64
}

const (
	deciderVMs = 4
	// fullLoad is the load of all keys in slots, of the 100 slots of the region.
	fullLoad = 170
	// carried is the fraction that fits.
	carried = 0.5
)

var deciderScope = workingset.ScopeOf(serviceName, "a")

func newDeciders() *deciders {
	d := &deciders{now: time.Unix(1000, 0), frozen: make(map[int]bool), load: fullLoad}
	for vm := range deciderVMs {
		d.vms = append(d.vms, d.newVM(vm))
		d.heard = append(d.heard, make([]time.Time, deciderVMs))
	}
	d.run(15 * time.Second)
	return d
}

func (d *deciders) newVM(i int) *Balancer {
	b := New(Options{
		VM: fmt.Sprint("vm-", i), Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return 0 }, Policy: workingSetPolicy,
	})
	spec := TargetSpec{Target: site.Target{ID: "t", Service: serviceName, Zone: "a1", Slots: 100}}
	b.SetTargets(d.now, map[string]site.Service{serviceName: {Name: serviceName}}, []TargetSpec{spec}, nil)
	return b
}

func (d *deciders) run(length time.Duration) {
	const tick, reportEvery = 100 * time.Millisecond, 4
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tick) {
		for vm, b := range d.vms {
			if d.frozen[vm] {
				d.behind[vm] += tick
				continue
			}
			b.SetWorkingSetRole(d.role(vm))
			b.Tick(d.clock(vm))
		}
		if d.steps++; d.steps%reportEvery == 0 {
			d.exchange()
		}
	}
}

// clock returns the time of a VM.
func (d *deciders) clock(vm int) time.Time { return d.now.Add(-d.behind[vm]) }

// role is that of peers.DecidingOrder.
func (d *deciders) role(vm int) WorkingSetRole {
	before, heard := 0, 1
	for other, at := range d.heard[vm] {
		if other != vm && d.clock(vm).Sub(at) < 1500*time.Millisecond {
			heard++
			if other < vm {
				before++
			}
		}
	}
	switch {
	case heard < 2 || before > 1:
		return NoWorkingSetRole
	case before == 1:
		return WorkingSetStandby
	}
	return WorkingSetDecider
}

func (d *deciders) exchange() {
	for from, b := range d.vms {
		if d.frozen[from] {
			continue
		}
		// All load comes in at a VM of another region, and what is admitted follows the arc of vm-3.
		load := workingset.Load{Arrivals: d.load * d.fraction(deciderVMs-1), Answered: 10, Busy: 10 * time.Second, Shortest: 300 * time.Millisecond}
		_ = b.SetWorkingSetReport(d.clock(from), WorkingSetReport{
			From: "load", Region: "b", Loads: workingset.EncodeLoads([]workingset.RankLoad{{Scope: deciderScope, Load: load}}),
		})
		report := WorkingSetReport{From: b.options.VM, Region: "a", Arcs: b.WorkingSetArcs(d.clock(from), false)}
		for to, other := range d.vms {
			if to == from || d.frozen[to] || d.reaches != nil && !d.reaches(from, to) {
				continue
			}
			d.heard[to][from] = d.clock(to)
			_ = other.SetWorkingSetReport(d.clock(to), report)
		}
	}
}

func (d *deciders) fraction(vm int) float64 {
	return d.vms[vm].ring(d.clock(vm), "a").Fractions(deciderScope)[0]
}

func (d *deciders) arc(vm int) workingset.Arc {
	return d.vms[vm].ring(d.clock(vm), "a").Arc(d.clock(vm), deciderScope, 0)
}

// check fails unless the VMs have about the same arc with about the fraction that fits, and vm-3 follows
// a decider.
func (d *deciders) check(t *testing.T, decider string, vms ...int) {
	t.Helper()
	for _, vm := range vms {
		arc, last := d.arc(vm), d.arc(vms[len(vms)-1])
		if arc.Fraction < carried-0.15 || arc.Fraction > carried+0.15 {
			t.Errorf("vm-%d admits %.2f of the keys", vm, arc.Fraction)
		}
		if difference := arc.Start - last.Start; difference < -0.02 || difference > 0.02 {
			t.Errorf("the arc of vm-%d starts at %.3f, that of the last VM at %.3f", vm, arc.Start, last.Start)
		}
	}
	if got, _ := d.vms[deciderVMs-1].ring(d.now, "a").Decider(); got != decider {
		t.Errorf("vm-3 follows %q, want %q", got, decider)
	}
}

// The VM that decides fails: the next one goes on from the arc that it knows.
func TestDeciderFails(t *testing.T) {
	d := newDeciders()
	d.check(t, "vm-0", 0, 1, 2, 3)
	d.frozen[0] = true
	for range 10 {
		d.run(time.Second)
		if f := d.fraction(3); f > carried+0.15 {
			t.Errorf("admits %.2f of the keys without a decider", f)
		}
	}
	d.check(t, "vm-1", 1, 2, 3)
}

// The VM that decides is frozen, with its clock, and comes back with an arc of long ago: it must not be
// followed before it knows the present one.
func TestFrozenDeciderReturns(t *testing.T) {
	d := newDeciders()
	d.frozen[0] = true
	d.run(20 * time.Second)
	before := d.arc(3)
	d.frozen[0] = false
	d.run(time.Second)
	moved := d.arc(3).Start - before.Start
	moved -= math.Floor(moved)
	if moved < 0.01 || moved > 0.03 {
		t.Errorf("the arc moved by %.3f of the ring in a second", moved)
	}
	d.run(4 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides starts anew: it listens first and takes over the arc that the others have.
func TestDeciderStarts(t *testing.T) {
	d := newDeciders()
	d.vms[0] = d.newVM(0)
	for range 8 {
		d.run(500 * time.Millisecond)
		if f := d.fraction(3); f > carried+0.15 || f < carried-0.15 {
			t.Errorf("admits %.2f of the keys", f)
		}
	}
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides starts anew after no key was refused for a while, so that no VM tells it the last
// number: the others must follow its low numbers.
func TestDeciderStartsWhileNothingIsLimited(t *testing.T) {
	d := newDeciders()
	d.load = 10
	d.run(30 * time.Second)
	if f := d.fraction(3); f < 1 {
		t.Fatalf("admits %.2f of the keys though the work fits", f)
	}
	d.vms[0] = d.newVM(0)
	d.run(3 * time.Second)
	d.load = fullLoad
	d.run(8 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides does not reach the targets: it must not decide on the others' requests by slots that
// only it does not see. The standby does instead, and it does not if it reaches no target either.
func TestDeciderReachesNoTarget(t *testing.T) {
	d := newDeciders()
	d.vms[0].SetReached(d.now, serviceName, "a", false)
	for range 12 {
		d.run(time.Second)
		if f := d.fraction(3); f < carried-0.15 || f > carried+0.15 {
			t.Errorf("admits %.2f of the keys", f)
		}
	}
	d.check(t, "vm-1", 0, 1, 2, 3)
	d.vms[1].SetReached(d.now, serviceName, "a", false)
	_, before := d.vms[3].ring(d.now, "a").Decider()
	d.run(2 * time.Second)
	if _, number := d.vms[3].ring(d.now, "a").Decider(); number > before+1 {
		t.Errorf("the standby made %d decisions without reaching a target", number-before)
	}
	d.vms[0].SetReached(d.now, serviceName, "a", true)
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides does not reach the targets while nothing is limited, so that no VM expects a decision:
// the standby must decide when the load comes, and the decider again when it reaches them.
func TestDeciderReachesNoTargetBeforeTheLoad(t *testing.T) {
	d := newDeciders()
	d.load = 10
	d.run(30 * time.Second)
	d.vms[0].SetReached(d.now, serviceName, "a", false)
	d.run(3 * time.Second)
	d.load = fullLoad
	d.run(11 * time.Second)
	d.check(t, "vm-1", 0, 1, 2, 3)
	d.vms[0].SetReached(d.now, serviceName, "a", true)
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The load comes while the decider is able to decide: the standby must not decide as well.
func TestStandbyLeavesTheBeginToTheDecider(t *testing.T) {
	d := newDeciders()
	d.load = 10
	d.run(30 * time.Second)
	d.load = fullLoad
	for range 80 {
		d.run(100 * time.Millisecond)
		if decider, _ := d.vms[1].ring(d.now, "a").Decider(); decider != "vm-0" {
			t.Fatalf("%s decides", decider)
		}
	}
}

// All targets rest: neither the decider nor the standby may decide without slots, and the arcs must be as
// before when the targets are back.
func TestDecidersWithoutSlots(t *testing.T) {
	d := newDeciders()
	for _, b := range d.vms {
		target := b.services[serviceName].targets["t"]
		target.stated = &statement{restUntil: d.now.Add(4 * time.Second)}
	}
	_, before := d.vms[3].ring(d.now, "a").Decider()
	d.run(3900 * time.Millisecond)
	if _, number := d.vms[3].ring(d.now, "a").Decider(); number > before+1 {
		t.Errorf("%d decisions without slots", number-before)
	}
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides has ejected a part of the targets and the other VMs have not: it decides by the
// slots of all.
func TestDeciderHasEjectedTargets(t *testing.T) {
	d := newDeciders()
	for _, b := range d.vms {
		var specs []TargetSpec
		for i := range 5 {
			specs = append(specs, TargetSpec{Target: site.Target{ID: fmt.Sprint("t-", i), Service: serviceName, Zone: "a1", Slots: 20}})
		}
		b.SetTargets(d.now, map[string]site.Service{serviceName: {Name: serviceName}}, specs, nil)
	}
	for i := range 4 {
		target := d.vms[0].services[serviceName].targets[fmt.Sprint("t-", i)]
		target.needsProbe, target.ejectedUntil = true, d.now.Add(time.Hour)
	}
	d.run(12 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// A VM that starts admits all keys until it receives an arc, at most half a second after its first
// report.
func TestStartingVMReceivesArc(t *testing.T) {
	d := newDeciders()
	d.vms[2] = d.newVM(2)
	if f := d.fraction(2); f != 1 {
		t.Errorf("a VM that knows nothing admits %.2f", f)
	}
	d.run(500 * time.Millisecond)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides is heard but hears nobody: the next one takes over.
func TestDeciderHearsNobody(t *testing.T) {
	d := newDeciders()
	d.reaches = func(_, to int) bool { return to != 0 }
	for range 12 {
		d.run(time.Second)
		if f := d.fraction(3); f > carried+0.15 {
			t.Errorf("admits %.2f of the keys", f)
		}
	}
	d.check(t, "vm-1", 1, 2, 3)
	d.reaches = nil
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The VM that decides hears all and is not heard: the next one takes over, and it takes over again later.
func TestDeciderIsNotHeard(t *testing.T) {
	d := newDeciders()
	d.reaches = func(from, _ int) bool { return from != 0 }
	d.run(12 * time.Second)
	d.check(t, "vm-1", 1, 2, 3)
	d.reaches = nil
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// Two halves of the fleet decide each for themselves, and take the arc of the lower name when they reach
// each other again.
func TestHalvesOfTheFleet(t *testing.T) {
	d := newDeciders()
	d.reaches = func(from, to int) bool { return from/2 == to/2 }
	d.run(15 * time.Second)
	d.check(t, "vm-2", 2, 3)
	d.check(t, "vm-2", 0, 1)
	d.reaches = nil
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// The half with the higher name has made more decisions when the halves reach each other again: the lower
// name must go on from its number, or it would never be followed.
func TestHalfWithMoreDecisions(t *testing.T) {
	d := newDeciders()
	d.reaches = func(from, to int) bool { return from/2 == to/2 }
	d.run(10 * time.Second)
	d.frozen[0], d.frozen[1] = true, true
	d.run(10 * time.Second)
	d.frozen[0], d.frozen[1] = false, false
	d.reaches = nil
	d.run(3 * time.Second)
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// A VM that hears nobody for 5 s lets the fraction grow until it admits all keys.
func TestVMWithoutReportsAdmitsMore(t *testing.T) {
	d := newDeciders()
	d.reaches = func(_, to int) bool { return to != 2 }
	d.run(4 * time.Second)
	if f := d.fraction(2); f > carried+0.15 {
		t.Errorf("admits %.2f of the keys after 4 s", f)
	}
	d.run(20 * time.Second)
	if f := d.fraction(2); f != 1 {
		t.Errorf("admits %.2f of the keys after 24 s", f)
	}
}

// A damaged report must not change anything.
func TestDamagedWorkingSetReport(t *testing.T) {
	d := newDeciders()
	err := d.vms[2].SetWorkingSetReport(d.now, WorkingSetReport{From: "x", Loads: []byte{1, 2}, Arcs: [][]byte{{5, 'a'}, nil}})
	if err == nil {
		t.Error("no error")
	}
	d.check(t, "vm-0", 0, 1, 2, 3)
}

// A service without requests that may run in one region only must not appear in the views of VMs, as each
// one there has metrics of its own.
func TestDeciderKeepsNoScopeWithoutLoad(t *testing.T) {
	d := newDeciders()
	target := func(service string) TargetSpec {
		return TargetSpec{Target: site.Target{ID: "t-" + service, Service: service, Zone: "a1", Slots: 100}}
	}
	services := map[string]site.Service{serviceName: {Name: serviceName}, "other": {Name: "other"}}
	d.vms[0].SetTargets(d.now, services, []TargetSpec{target(serviceName), target("other")}, nil)
	d.run(time.Second)
	if sets := d.vms[0].WorkingSets(d.now); len(sets) != 1 || sets[0].Service != serviceName {
		t.Errorf("views %+v", sets)
	}
	d.check(t, "vm-0", 0, 1, 2, 3)
}
