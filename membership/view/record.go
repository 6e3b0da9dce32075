package view

import (
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// endpoint is where a VM is reached.
type endpoint struct {
	role    membership.Role
	address netip.AddrPort
}

func endpointOf(vm membership.VM) endpoint {
	return endpoint{role: vm.Role, address: vm.Address}
}

// record is what is remembered of one VM.
type record struct {
	vm     membership.VM
	listed bool
	// since is when the VM came to be listed, or gone.
	since time.Time
	// returns counts how often the VM came back, since it was last stable.
	returns int
	// shownFrom is when it may be shown again after a return.
	shownFrom time.Time
	// order grows with the readings in which VMs came to be listed.
	order uint64
}

// leave notes that an answer did not list the VM. Its returns are forgotten if
// it was listed for long before.
func (r *record) leave(now time.Time, o Options) {
	if now.Sub(r.since) >= o.StableAfter {
		r.returns = 0
	}
	r.listed = false
	r.since = now
}

// enter notes that an answer lists the VM after one that did not. A VM that
// comes and goes would pull its share of traffic back and forth; each return
// costs it a longer wait, so the number of moves in any time is bounded.
func (r *record) enter(now time.Time, order uint64, o Options) {
	r.returns++
	r.shownFrom = now.Add(o.hold(r.returns))
	r.listed = true
	r.since = now
	r.order = order
}

func (o Options) hold(returns int) time.Duration {
	hold := o.HoldDown
	for i := 1; i < returns && hold < o.MaxHoldDown; i++ {
		hold *= 2
	}
	return min(hold, o.MaxHoldDown)
}
