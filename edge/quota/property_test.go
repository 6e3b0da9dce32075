package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// vmFaults is the number of faults of VMs and of the network between them.
const vmFaults = 5

// drawVMFault injects a fault of a drawn VM or of the network, or ends those of the network.
func drawVMFault(t *rapid.T, m *model, fault int) {
	vm := m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")]
	switch fault {
	case 0:
		for _, vm := range m.vms {
			vm.side = rapid.IntRange(0, 2).Draw(t, "side")
		}
	case 1:
		for _, vm := range m.vms {
			vm.side = 0
		}
	case 2:
		m.start(vm)
	case 3:
		for _, vm := range m.vms {
			m.start(vm)
		}
	case 4:
		vm.frozenUntil = m.now.Add(time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause ms")) * time.Millisecond)
	}
}

// drawHistory plays a fleet with random loads and faults, and returns by how many requests the
// worst window of any account exceeds its bound.
func drawHistory(t *rapid.T, makeScheme func(*model, *modelVM) scheme) int {
	n := rapid.IntRange(2, 14).Draw(t, "vms")
	var accounts []*site.Account
	for _, name := range []string{"a", "b"} {
		rate := rapid.Float64Range(1, 200).Draw(t, name+" rate")
		accounts = append(accounts, &site.Account{Name: name, Rate: rate, Burst: rate * rapid.Float64Range(0, 1.5).Draw(t, name+" burst")})
	}
	m := newModel(rapid.Uint64().Draw(t, "seed"), n, makeScheme, accounts...)
	for _, a := range accounts {
		at := rapid.SliceOfN(rapid.IntRange(0, n-1), 1, n).Draw(t, a.Name+" at")
		m.loads = append(m.loads, modelLoad{a, a.Rate * rapid.Float64Range(0.3, 9).Draw(t, a.Name+" load"), at})
	}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		m.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		switch fault := rapid.IntRange(0, vmFaults+1).Draw(t, "fault"); fault {
		default:
			drawVMFault(t, m, fault)
		case vmFaults:
			a := accounts[rapid.IntRange(0, 1).Draw(t, "account")]
			m.setLimit(a, a.Rate*rapid.Float64Range(0.2, 1.5).Draw(t, "rate"), a.Burst)
		case vmFaults + 1:
			i := rapid.IntRange(0, 1).Draw(t, "account")
			m.loads[i].perS *= rapid.Float64Range(0.2, 5).Draw(t, "load")
		}
	}
	m.run(6 * time.Second)
	return max(m.overrun(accounts[0]), m.overrun(accounts[1]))
}

// In no window may more requests of an account run than its quota allows, whatever is lost, cut
// off, paused, restarted or changed.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := drawHistory(t, pooledWay); over > 0 {
			t.Fatalf("%d requests too many in a window", over)
		}
	})
}

// The check above must find a way that is unsafe: one that relies on the counts that VMs exchange.
func TestHistoriesFindAnUnsafeWay(t *testing.T) {
	worst := 0
	for seed := range 30 {
		over := rapid.Custom(func(t *rapid.T) int { return drawHistory(t, countedWay) }).Example(seed)
		worst = max(worst, over)
	}
	if worst == 0 {
		t.Error("no history exceeds a quota although VMs rely on old counts")
	}
}
