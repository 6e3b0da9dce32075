package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// The VM that decides for a region must be its primary aggregator, and the first VM of a small region. One
// that hears nobody must not decide, as it does not know what the others measure.
func TestDecidingOrder(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 9, 20} {
		var vms []site.VM
		for i := range size {
			vms = append(vms, vmOf(fmt.Sprintf("vm-%02d", i), "n1"))
		}
		for i, own := range vms {
			m := New(own, start)
			m.Register(vms, start)
			now := start.Add(time.Minute)
			if _, ok := m.DecidingOrder(now); ok != (size <= 2) {
				t.Errorf("%d VMs: %s hears nobody and decides: %v", size, own.Name, ok)
			}
			observeAll(m, now, append(append([]site.VM{}, vms[:i]...), vms[i+1:]...)...)
			order, ok := m.DecidingOrder(now)
			if order != i || !ok {
				t.Errorf("%d VMs: %s is number %d, %v", size, own.Name, order, ok)
			}
			if primary := m.Topology(now).Aggregators[0].Name == own.Name; primary != (order == 0) {
				t.Errorf("%d VMs: %s is primary aggregator: %v, number %d", size, own.Name, primary, order)
			}
			if i > 0 {
				m.Observe(vms[0], State{At: now, Leaving: true})
				if order, _ := m.DecidingOrder(now); order != i-1 {
					t.Errorf("%d VMs: %s is number %d after the first leaves", size, own.Name, order)
				}
			}
		}
	}
}
