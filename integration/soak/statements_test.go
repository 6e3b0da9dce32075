package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	// leavingTime is how long after a VM has passed on an answer that says so its callers' requests may
	// still reach a target that leaves.
	leavingTime = 2 * time.Second
	// restTime is how long after a refusal a VM may still send requests to a target that asked for a
	// rest, and restExtra how many it may send in the rest of that time.
	restTime  = 500 * time.Millisecond
	restExtra = 2
	// calmRest is the rest that targets ask for after all faults have ended.
	calmRest = 2 * time.Second
	// linkTime is how long before a refusal the way to its VM must have been undisturbed.
	linkTime = time.Second
)

// disturbance is a fault that may keep a VM from learning, or make it forget, what targets state.
type disturbance struct {
	// vm is "" for all.
	vm string
	at time.Time
}

// disturbances are in the order of their times.
type disturbances []disturbance

func (d *disturbances) vm(name string) { *d = append(*d, disturbance{vm: name, at: time.Now()}) }
func (d *disturbances) all()           { d.vm("") }

// between reports whether there was one of a VM.
func (d disturbances) between(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(d, func(e disturbance) bool {
		return (e.vm == vm || e.vm == "") && e.at.After(from) && e.at.Before(to)
	})
}

// leave lets a target, or all of a service, say in their answers that they leave, until their next start.
func (w *world) leave() {
	for _, target := range w.oneOrService() {
		target.SetLeaving(true)
	}
}

// rest lets a target, or all of a service, refuse requests and ask for a rest.
func (w *world) rest() {
	text := []string{"0.2", "1", "1.5", "3", "soon", "-1"}[w.random.IntN(6)]
	w.faults["rest "+text]++
	for _, target := range w.oneOrService() {
		target.SetRest(text)
	}
}

func (w *world) endRests() {
	for _, target := range w.targets {
		target.SetRest("")
	}
}

// oneOrService returns any target, and half of the times all others of its service too.
func (w *world) oneOrService() []*platformtest.Target {
	chosen := w.targets[w.random.IntN(len(w.targets))]
	if w.random.IntN(2) == 0 {
		return []*platformtest.Target{chosen}
	}
	return w.targetsOf(chosen.Service)
}

func (w *world) targetsOf(service string) (targets []*platformtest.Target) {
	for _, target := range w.targets {
		if target.Service == service {
			targets = append(targets, target)
		}
	}
	return targets
}

// aloneInDomain reports whether a VM has no other one in its failure domain, so that no other one sends
// the requests of its callers.
func (w *world) aloneInDomain(name string) bool {
	zones := make(map[string]int)
	zone := ""
	for _, p := range w.processes {
		zones[p.vm.Zone]++
		if p.vm.Name == name {
			zone = p.vm.Zone
		}
	}
	return zones[zone] == 1
}

// checkStatements checks, for each VM that is alone in its failure domain, that it has kept what targets
// stated to it, unless it was stopped, paused or cut off in between.
func (w *world) checkStatements(seen *journal) {
	if w.seed < statementSeeds {
		return
	}
	w.t.Helper()
	arrivals := make(map[string][]platformtest.Arrival)
	for _, target := range w.targets {
		arrivals[target.ID] = target.Arrivals()
	}
	checked := 0
	for _, l := range firstOfEach(seen.leavings) {
		if !w.aloneInDomain(l.vm) {
			continue
		}
		checked++
		for _, a := range arrivals[l.target] {
			late := a.VM == l.vm && a.StartedMillis == l.startedMillis && a.SentAt.Sub(l.at) > leavingTime
			if late && !w.disturbed.between(l.vm, l.at, a.At) {
				w.t.Errorf("%s sent %s a request %s after it had passed on an answer that says that the target leaves", l.vm, l.target, a.SentAt.Sub(l.at))
				break
			}
		}
	}
	rests := 0
	for id, list := range arrivals {
		rests += w.checkRests(id, list)
	}
	w.t.Logf("%d statements of leaving and %d rests checked", checked, rests)
}

// firstOfEach returns the first response of each target's start at each VM.
func firstOfEach(all []leaving) (first []leaving) {
	type key struct {
		vm, target string
		started    int64
	}
	known := make(map[key]bool)
	for _, l := range all {
		k := key{l.vm, l.target, l.startedMillis}
		if !known[k] {
			known[k] = true
			first = append(first, l)
		}
	}
	return first
}

// checkRests checks the rests that one target has asked for, and returns how many.
func (w *world) checkRests(target string, arrivals []platformtest.Arrival) (checked int) {
	reported := make(map[string]bool)
	for i, refused := range arrivals {
		end := refused.At.Add(refused.Rest)
		if refused.Rest <= 0 || !w.aloneInDomain(refused.VM) || w.disturbed.between(refused.VM, refused.At.Add(-linkTime), end) {
			continue
		}
		checked++
		later := 0
		for _, a := range arrivals[i+1:] {
			if a.VM == refused.VM && a.StartedMillis == refused.StartedMillis && a.At.Sub(refused.At) > restTime && a.At.Before(end) {
				later++
			}
		}
		if later > restExtra && !reported[refused.VM] {
			reported[refused.VM] = true
			w.t.Errorf("%s sent %s %d requests later than %s in a rest of %s", refused.VM, target, later, restTime, refused.Rest)
		}
	}
	return checked
}

// checkLeavingAndRest lets a target leave while the store is away, then all targets of a service rest, after
// all faults have ended, and checks that all VMs keep both and serve otherwise.
func (w *world) checkLeavingAndRest() {
	if w.seed < statementSeeds {
		return
	}
	defer w.askWithAllKeys()()
	time.Sleep(contactTime)
	w.checkLeavingWithoutStore()
	w.checkRestOfService()
}

func (w *world) checkLeavingWithoutStore() {
	target := w.targetsOf("s0")[0]
	w.store.SetFaults(func(string) platformtest.Fault { return platformtest.Unavailable })
	defer w.store.SetFaults(nil)
	target.SetLeaving(true)
	began := time.Now()
	time.Sleep(2 * leavingTime)
	before, after := countBetween(target, began, began.Add(leavingTime)), countBetween(target, began.Add(leavingTime), time.Now())
	if before == 0 || after > 0 {
		w.t.Errorf("%d requests reached the leaving target in the first %s, %d later", before, leavingTime, after)
	}
}

func (w *world) checkRestOfService() {
	targets := w.targetsOf("s0")
	began := time.Now()
	for _, target := range targets {
		target.SetRest(fmt.Sprint(calmRest.Seconds()))
	}
	time.Sleep(calmRest - 100*time.Millisecond)
	w.endRests()
	time.Sleep(2 * calmRest)
	served := 0
	for _, target := range targets {
		n := countBetween(target, began.Add(calmRest), time.Now())
		served += n
		w.t.Logf("%s got %d requests in its rest, %d later", target.ID, countBetween(target, began, began.Add(calmRest)), n)
	}
	if served == 0 {
		w.t.Error("no target is used after its rest")
	}
}

// countBetween counts the requests that reached a target.
func countBetween(target *platformtest.Target, from, to time.Time) (n int) {
	for _, a := range target.Arrivals() {
		if !a.At.Before(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}
