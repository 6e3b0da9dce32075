package peers

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// fullMeshLimit is the largest region in which all VMs report to each other. The number of
	// datagrams grows with the square of the region's size; above this limit a VM would spend
	// more on datagrams than on requests.
	fullMeshLimit = 8
	// aggregatorCount is the number of VMs of a large region that receive all reports: a
	// primary and a standby.
	aggregatorCount = 2
	// digestTimeout is how long a VM waits for a digest before it reports that none arrives. It
	// is longer than the replacement of a failed aggregator or relay takes.
	digestTimeout = suspicionTimeout + 500*time.Millisecond
	// directDigestPeriod is how long the aggregator then sends digests to that VM directly.
	directDigestPeriod = 5 * time.Second
)

// Topology determines which VMs exchange reports and digests with this VM.
type Topology struct {
	// Large is true if only the aggregators of the region receive all reports.
	Large bool
	// Aggregators of this region, the primary first. They may include this VM.
	Aggregators []site.VM
	// SameDomain are the VMs of this failure domain, without the aggregators and this VM.
	SameDomain []site.VM
	// Relays are one VM of each other failure domain of the region. A relay forwards digests to
	// the VMs of its domain.
	Relays []site.VM
	// Unreached are VMs of other failure domains that recently reported missing digests.
	Unreached []site.VM
	// RemoteAggregators are the aggregators of the other regions.
	RemoteAggregators []site.VM
}

// Topology returns the topology at the given time. VMs with the same membership view compute
// the same aggregators and relays.
func (m *Members) Topology(now time.Time) Topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	var t Topology
	for region, vms := range m.regions {
		if region != m.own.Region {
			t.RemoteAggregators = append(t.RemoteAggregators, selectAggregators(vms, func(site.VM) bool { return true })...)
			continue
		}
		t.Large = len(vms) > fullMeshLimit
		t.Aggregators = selectAggregators(vms, func(vm site.VM) bool { return vm.Name == m.own.Name || m.isEligible(vm, now) })
		m.assignDigestRoutes(&t, vms, now)
	}
	return t
}

// assignDigestRoutes sets through which VMs digests reach the rest of the region.
func (m *Members) assignDigestRoutes(t *Topology, vms []site.VM, now time.Time) {
	served := map[string]bool{m.own.Zone: true}
	for _, vm := range vms {
		if vm.Name == m.own.Name || slices.ContainsFunc(t.Aggregators, func(a site.VM) bool { return a.Name == vm.Name }) {
			continue
		}
		at, without := m.noDigestAt[vm.Name]
		switch {
		case vm.Zone == m.own.Zone:
			t.SameDomain = append(t.SameDomain, vm)
		case !served[vm.Zone] && m.isEligible(vm, now):
			served[vm.Zone] = true
			t.Relays = append(t.Relays, vm)
		case without && now.Sub(at) < directDigestPeriod:
			t.Unreached = append(t.Unreached, vm)
		}
	}
}

// isEligible reports whether a VM of this region can be an aggregator or a relay. VMs that have
// not reported are eligible until this VM has run for suspicionTimeout.
func (m *Members) isEligible(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	if !ok {
		return now.Sub(m.started) < suspicionTimeout
	}
	return now.Sub(state.At) < suspicionTimeout && !state.Leaving
}

// minHeardShare is the share of the region's VMs that a VM must hear, itself included, to decide for the
// region: at least one other of three or more. One that hears nobody, but is heard, would decide without the
// load of the others. After the loss of a failure domain about half are heard.
const minHeardShare = 0.25

// DecidingOrder returns how many VMs of this region come before this one among those that may decide for
// it. The first is the primary aggregator of a large region. ok is false if this VM hears too few others.
func (m *Members) DecidingOrder(now time.Time) (order int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms, heard := m.regions[m.own.Region], 1
	for _, vm := range vms {
		if vm.Name == m.own.Name {
			continue
		}
		if m.isEligible(vm, now) {
			heard++
			if vm.Name < m.own.Name {
				order++
			}
		}
	}
	return order, heard >= min(2, len(vms)-1) && float64(heard) >= minHeardShare*float64(len(vms))
}

// selectAggregators returns all VMs of a small region, or the first eligible ones of a large
// region.
func selectAggregators(vms []site.VM, eligible func(site.VM) bool) []site.VM {
	if len(vms) <= fullMeshLimit {
		return vms
	}
	var all []site.VM
	for _, vm := range vms {
		if len(all) < aggregatorCount && eligible(vm) {
			all = append(all, vm)
		}
	}
	return all
}
