package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

// soakCounted is how long first tries are counted in each seed.
const soakCounted = 2 * time.Second

// cutModes are the ways in which VMs are cut from targets.
var cutModes = []mode{silent, severed, refuse}

// drawVMs returns the VMs that lose all targets: one, those of a failure domain, or all.
func (w *world) drawVMs() (cut []int, what string) {
	one := w.random.IntN(len(w.processes))
	scope := w.random.IntN(4)
	for i, p := range w.processes {
		if i == one || scope == 2 && p.vm.Zone == w.processes[one].vm.Zone || scope == 3 {
			cut = append(cut, i)
		}
	}
	return cut, [...]string{"a VM", "a VM", "a domain", "all VMs"}[scope]
}

func (w *world) setCut(vms []int, m mode) {
	for _, i := range vms {
		for _, p := range w.paths {
			p.cut(w.processes[i].vm.Name, m)
		}
	}
}

// cutVMs cuts VMs from all targets, or ends that.
func (w *world) cutVMs() {
	vms, what := w.drawVMs()
	m := append(cutModes, pass)[w.random.IntN(len(cutModes)+1)]
	w.faults[fmt.Sprintf("%s cut: %s", what, m)]++
	w.disturbed.all()
	w.setCut(vms, m)
}

// healCuts ends all cuts, and limits: callers that do not wait would use up those of a whole service.
func (w *world) healCuts() {
	for i := range w.processes {
		w.setCut([]int{i}, pass)
	}
	for _, target := range w.limitedService() {
		target.SetLimitText("")
	}
}

// checkCut cuts VMs from all targets beside another disturbance, and compares the first tries of callers
// that stay with them to those of other VMs' callers.
func (w *world) checkCut() {
	if w.seed < cutSeeds {
		return
	}
	if w.version%2 == 0 {
		w.configure()
	}
	// Look-ups go to the service whose targets state no limit.
	c := cutCase{method: "GET", path: "/look/", keyed: w.random.IntN(2) == 0, key: w.keyOf(0), mode: cutModes[w.random.IntN(len(cutModes))]}
	c.cut, c.name = w.drawVMs()
	l := c.startLoad(w)
	time.Sleep(time.Second)
	beside := w.disturbBesideCut(c.cut)
	c.setMode(w, c.mode)
	time.Sleep(cutContact)
	l.next()
	time.Sleep(soakCounted)
	atCut, atOthers := c.split(l.next())
	c.setMode(w, pass)
	w.store.SetFaults(nil)
	l.stop()
	w.t.Logf("%s cut (%s) beside %s: cut VMs %s; others %s", c.name, c.mode, beside, summary(atCut), summary(atOthers))
	c.checkRuns(w, l)
	w.waitServing("after the cut")
	switch {
	case len(atOthers) == 0:
		if n := served(atCut); n > 0 && c.mode != refuse {
			w.t.Errorf("%d requests were served though all VMs were cut", n)
		}
	case 3*served(atCut)*len(atOthers) < 2*served(atOthers)*len(atCut):
		w.t.Errorf("served %d of %d first tries at VMs that were cut, %d of %d at others", served(atCut), len(atCut), served(atOthers), len(atOthers))
	case beside == "nothing" && 100*served(atCut) < cutServed*len(atCut):
		w.t.Errorf("served %d of %d first tries at VMs that were cut", served(atCut), len(atCut))
	}
}

// disturbBesideCut begins another disturbance and returns its name. A VM that is not cut may end.
func (w *world) disturbBesideCut(cut []int) string {
	other := -1
	for i := range w.processes {
		if len(cut) == 0 || i != cut[0] && (len(cut) < 2 || i != cut[len(cut)-1]) {
			other = i
		}
	}
	switch w.random.IntN(5) {
	case 0:
		w.store.SetFaults(func(string) platformtest.Fault { return platformtest.Unavailable })
		return "a store that is away"
	case 1:
		w.register(w.random.IntN(len(w.targets)), true)
		return "a target that drains"
	case 2:
		if other >= 0 && len(cut) < len(w.processes) {
			w.processes[other].kill()
			w.processes[other].start()
			return "a VM that was killed"
		}
	case 3:
		if other >= 0 && len(cut) < len(w.processes) {
			p := w.processes[other]
			p.signal(syscall.SIGTERM)
			<-p.gone
			p.start()
			return "a VM that was stopped"
		}
	}
	return "nothing"
}
