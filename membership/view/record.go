package view

import (
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// endpoint identifies a VM by role and address.
type endpoint struct {
	role    membership.Role
	address netip.AddrPort
}

func endpointOf(vm membership.VM) endpoint {
	return endpoint{role: vm.Role, address: vm.Address}
}

// record is the tracked state of one VM.
type record struct {
	vm     membership.VM
	listed bool
	// since is when the VM was last added to or removed from the list.
	since time.Time
	// returns counts the returns since the VM was last stable.
	returns int
	// shownFrom is the end of the hold-down time.
	shownFrom time.Time
	// listedRevision is the tracker's revision when the VM was last added.
	listedRevision uint64
}

// markAbsent records that the VM is no longer listed. The count of returns is
// reset if the VM was stable before.
func (r *record) markAbsent(now time.Time, o Options) {
	if now.Sub(r.since) >= o.StableAfter {
		r.returns = 0
	}
	r.listed = false
	r.since = now
}

// markListed records that an absent VM is listed again. The hold-down time grows
// with each return, so that a flapping VM does not keep shifting traffic.
func (r *record) markListed(now time.Time, revision uint64, o Options) {
	r.returns++
	r.shownFrom = now.Add(o.holdDown(r.returns))
	r.listed = true
	r.since = now
	r.listedRevision = revision
}

func (o Options) holdDown(returns int) time.Duration {
	hold := o.HoldDown
	for i := 1; i < returns && hold < o.MaxHoldDown; i++ {
		hold *= 2
	}
	return min(hold, o.MaxHoldDown)
}
