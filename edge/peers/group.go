package peers

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// smallRegion is up to how many VMs all report to each other. Above it a VM
	// would spend more on datagrams than on requests.
	smallRegion = 8
	// listeners is how many VMs of a large region get the reports of all others: one that works
	// and one that takes over.
	listeners = 2
	// missingAfter is how long a VM without a digest waits before it says so: longer
	// than a silent listener or relay is replaced in.
	missingAfter = suspicionTimeout + 500*time.Millisecond
	// directFor is how long it gets digests from the listener itself then.
	directFor = 5 * time.Second
)

// Topology is how the VMs of the own region share their reports.
type Topology struct {
	// Large tells that only the listeners get all reports.
	Large bool
	// Aggregators of the own region, the first one first; this VM may be one.
	Aggregators []site.VM
	// SameDomain are the VMs of the own failure domain that are no listeners, without
	// this VM.
	SameDomain []site.VM
	// Relays are one VM of each other failure domain of the region, to pass a
	// digest on to the others there.
	Relays []site.VM
	// Unreached are VMs of other failure domains that no digest reached lately.
	Unreached []site.VM
	// RemoteAggregators are the listeners of the other regions.
	RemoteAggregators []site.VM
}

// Topology returns the group at a time. All VMs that have the same reports find the same one.
func (m *Members) Topology(now time.Time) Topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	var g Topology
	for region, vms := range m.regions {
		if region != m.own.Region {
			g.RemoteAggregators = append(g.RemoteAggregators, first(vms, func(site.VM) bool { return true })...)
			continue
		}
		g.Large = len(vms) > smallRegion
		g.Aggregators = first(vms, func(vm site.VM) bool { return vm.Name == m.own.Name || m.mayListen(vm, now) })
		m.divide(&g, vms, now)
	}
	return g
}

// divide finds by whom the VMs of the own region get a digest.
func (m *Members) divide(g *Topology, vms []site.VM, now time.Time) {
	served := map[string]bool{m.own.Zone: true}
	for _, vm := range vms {
		if vm.Name == m.own.Name || slices.ContainsFunc(g.Aggregators, func(l site.VM) bool { return l.Name == vm.Name }) {
			continue
		}
		at, without := m.withoutAt[vm.Name]
		switch {
		case vm.Zone == m.own.Zone:
			g.SameDomain = append(g.SameDomain, vm)
		case !served[vm.Zone] && m.mayListen(vm, now):
			served[vm.Zone] = true
			g.Relays = append(g.Relays, vm)
		case without && now.Sub(at) < directFor:
			g.Unreached = append(g.Unreached, vm)
		}
	}
}

// mayListen reports whether a VM of the own region can be a listener or a relay: it
// is responsive, or this VM is too new to tell.
func (m *Members) mayListen(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	if !ok {
		return now.Sub(m.started) < suspicionTimeout
	}
	return now.Sub(state.At) < suspicionTimeout && !state.Leaving
}

// first returns the listeners of a region: all VMs of a small one, the first ones
// that can be in a large one.
func first(vms []site.VM, can func(site.VM) bool) []site.VM {
	if len(vms) <= smallRegion {
		return vms
	}
	var all []site.VM
	for _, vm := range vms {
		if len(all) < listeners && can(vm) {
			all = append(all, vm)
		}
	}
	return all
}
