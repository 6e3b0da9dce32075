// Package peers tracks the membership of the entry VMs: their registrations and their latest
// reports. It determines which VMs are live, which receive reports and digests, which watch the
// store, and which are offered to callers.
package peers

import (
	"sort"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// suspicionTimeout is how long a VM of this region may be silent before it is no longer offered
// to callers. Heartbeats arrive four times a second. A paused VM is back by then, or has lost its
// callers anyway.
const suspicionTimeout = 1500 * time.Millisecond

// remoteSuspicionTimeout is the same for VMs of other regions, whose heartbeats arrive twice a
// second. Only the aggregators of a large region report to other regions; its other VMs count as
// live while the store lists them.
const remoteSuspicionTimeout = 3 * time.Second

// State is the latest report of a VM.
type State struct {
	At      time.Time
	Serving bool
	Leaving bool
	// StoreConnected is true if its watch of the store works.
	StoreConnected bool
	// NoDigest is true if it expects digests and receives none.
	NoDigest bool
	// Unreached are the groups of targets that it does not reach, CutOff is true if these are all.
	Unreached []uint32
	CutOff    bool
}

// Members is the membership view of this VM. It is safe for concurrent use.
type Members struct {
	own site.VM
	// started is when this VM began to receive reports.
	started time.Time

	mu sync.Mutex
	// ownCutOff is true if this VM reaches no group of targets.
	ownCutOff  bool
	registered map[string]site.VM
	// regions caches the registered VMs and this one by region, sorted by name.
	regions map[string][]site.VM
	states  map[string]State
	// noDigestAt is when a VM last reported missing digests.
	noDigestAt map[string]time.Time
}

// New returns a membership view that contains only this VM.
func New(own site.VM, now time.Time) *Members {
	m := &Members{own: own, started: now, registered: make(map[string]site.VM), states: make(map[string]State),
		noDigestAt: make(map[string]time.Time)}
	m.rebuildRegions()
	return m
}

// Register replaces the registered VMs. A responsive VM is kept without a registration, as the
// store may have lost it in an outage.
func (m *Members) Register(vms []site.VM, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]site.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	for name, vm := range m.registered {
		if _, ok := next[name]; !ok && m.isResponsive(vm, now) {
			next[name] = vm
		}
	}
	m.registered = next
	m.rebuildRegions()
}

// rebuildRegions must be called with the lock held.
func (m *Members) rebuildRegions() {
	m.regions = map[string][]site.VM{m.own.Region: {m.own}}
	for name, vm := range m.registered {
		if name != m.own.Name {
			m.regions[vm.Region] = append(m.regions[vm.Region], vm)
		}
	}
	for _, vms := range m.regions {
		sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	}
}

// Observe records a report received from a VM. The VM becomes a member even if the store lists
// no registration. It reports whether the VM or its incarnation is new.
func (m *Members) Observe(vm site.VM, s State) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[vm.Name] = s
	if s.NoDigest {
		m.noDigestAt[vm.Name] = s.At
	}
	if known, ok := m.registered[vm.Name]; ok && known.Incarnation >= vm.Incarnation {
		return false
	}
	m.registered[vm.Name] = vm
	m.rebuildRegions()
	return true
}

// Others returns the registered VMs except this one, sorted by name.
func (m *Members) Others() []site.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []site.VM
	for name, vm := range m.registered {
		if name != m.own.Name {
			all = append(all, vm)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// isResponsive reports whether a VM's latest report is within its suspicion timeout.
func (m *Members) isResponsive(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	return ok && now.Sub(state.At) < m.timeoutOf(vm)
}

func (m *Members) timeoutOf(vm site.VM) time.Duration {
	if vm.Region == m.own.Region {
		return suspicionTimeout
	}
	return remoteSuspicionTimeout
}

// isLive reports whether callers may be sent to a VM. A VM that has not reported yet counts as
// live if it is in another region or this VM has just started.
func (m *Members) isLive(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	if !ok {
		return vm.Region != m.own.Region || now.Sub(m.started) < suspicionTimeout
	}
	return now.Sub(state.At) < m.timeoutOf(vm) && state.Serving && !state.Leaving
}

// isolationTimeout is how long all VMs of this region may be silent before this VM considers
// itself isolated. It is longer than the interval of full digests, and shorter than
// suspicionTimeout by more than the age of their content.
const isolationTimeout = 700 * time.Millisecond

// LiveInDomain returns the other VMs of this failure domain that accept callers and reach targets, sorted
// by name.
// It returns false if this VM receives no reports at all: it is isolated or stopping, and must
// not conclude that the other VMs have failed and abandon the requests they work on, as a VM would
// suspicionTimeout after its planned stop began.
func (m *Members) LiveInDomain(now time.Time) ([]site.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []site.VM
	newest := m.started
	for _, vm := range m.regions[m.own.Region] {
		state, reported := m.states[vm.Name]
		if !reported || vm.Name == m.own.Name {
			continue
		}
		if state.At.After(newest) {
			newest = state.At
		}
		if vm.Zone == m.own.Zone && m.isLive(vm, now) && !state.CutOff {
			live = append(live, vm)
		}
	}
	return live, now.Sub(newest) < isolationTimeout
}

// SetCutOff sets whether this VM reaches no group of targets.
func (m *Members) SetCutOff(cutOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownCutOff = cutOff
}

// VMReach is another VM that accepts callers, and the groups of targets that it does not reach.
type VMReach struct {
	VM        site.VM
	Unreached []uint32
}

// LiveReach returns the other VMs that accept callers with what they reach, in no particular order.
func (m *Members) LiveReach(now time.Time) (list []VMReach) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, vm := range m.registered {
		if name != m.own.Name && m.isLive(vm, now) {
			list = append(list, VMReach{VM: vm, Unreached: m.states[name].Unreached})
		}
	}
	return list
}

// IsResponsive reports whether a VM's latest report is within its suspicion timeout.
func (m *Members) IsResponsive(vm site.VM, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isResponsive(vm, now)
}

// ObserveIndirect records the state of a VM from an aggregator's digest, unless a newer one is
// known.
func (m *Members) ObserveIndirect(name string, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.states[name]; name != m.own.Name && (!ok || s.At.After(last.At)) {
		m.states[name] = s
	}
}

// RegionStates returns the latest reports of the registered VMs of this region, by name.
func (m *Members) RegionStates() map[string]State {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := make(map[string]State)
	for name, vm := range m.registered {
		if state, ok := m.states[name]; ok && vm.Region == m.own.Region {
			states[name] = state
		}
	}
	return states
}

// Responsive returns the names of the responsive VMs of this region, including this one. After
// the start of this VM, registered VMs without a report are included until suspicionTimeout:
// otherwise VMs that start together would each use the full rate of a cold target.
func (m *Members) Responsive(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, vm := range m.regions[m.own.Region] {
		_, reported := m.states[vm.Name]
		isNew := !reported && now.Sub(m.started) < suspicionTimeout
		if vm.Name == m.own.Name || isNew || m.isResponsive(vm, now) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// WorkSharers returns the names of the VMs of this region among which work is divided, including
// this one: the responsive VMs, or all registered VMs if less than half are responsive. The
// quorum prevents isolated VMs from each using the full rate of a cold target: at most two parts of
// a region can each hear half of it.
func (m *Members) WorkSharers(now time.Time) []string {
	responsive := m.Responsive(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.regions[m.own.Region]
	if 2*len(responsive) >= len(all) {
		return responsive
	}
	names := make([]string, 0, len(all))
	for _, vm := range all {
		names = append(names, vm.Name)
	}
	return names
}

const (
	// vmsPerWatcher is the number of VMs in a region for each VM that watches the store, and
	// maxWatchers the limit for a region: a primary and a standby. The store's capacity does not
	// grow with the fleet.
	vmsPerWatcher = 8
	maxWatchers   = 2
)

// ShouldWatch reports whether this VM watches the store: the first VMs of each region do, by
// name. A watcher that is unresponsive or not connected to the store is replaced by the next VM.
func (m *Members) ShouldWatch(now time.Time) bool {
	return m.isAmongFirst(now, maxWatchers, isConnected)
}

func isConnected(s State) bool { return s.StoreConnected && !s.Leaving }

// IsWatchLeader reports whether this VM is the first of the region's watchers.
func (m *Members) IsWatchLeader(now time.Time) bool { return m.isAmongFirst(now, 1, isConnected) }

// IsDefaultWatcher reports whether this VM watches when all VMs are connected to the store.
func (m *Members) IsDefaultWatcher(now time.Time) bool {
	return m.isAmongFirst(now, maxWatchers, func(s State) bool { return !s.Leaving })
}

// isAmongFirst reports whether this VM is among the first responsive and eligible VMs of its
// region, by name: at most limit, and one for each vmsPerWatcher responsive VMs.
func (m *Members) isAmongFirst(now time.Time, limit int, eligible func(State) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	responsive, before := 1, 0
	for name, vm := range m.registered {
		if name == m.own.Name || vm.Region != m.own.Region || !m.isResponsive(vm, now) {
			continue
		}
		responsive++
		if name < m.own.Name && eligible(m.states[name]) {
			before++
		}
	}
	return before < min(limit, max(1, responsive/vmsPerWatcher))
}

// Coordinators returns the VMs that may coordinate by region, with this one if own is true.
// For VMs of other regions it goes by their registration: most of them report only now and then to
// this region, so that the age of a report does not tell whether they are live.
func (m *Members) Coordinators(own bool, now time.Time) map[string][]site.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string][]site.VM)
	if own {
		all[m.own.Region] = append(all[m.own.Region], m.own)
	}
	for name, vm := range m.registered {
		if name == m.own.Name {
			continue
		}
		if remote := vm.Region != m.own.Region; remote && !m.states[name].Leaving || !remote && m.isLive(vm, now) {
			all[vm.Region] = append(all[vm.Region], vm)
		}
	}
	return all
}

// Count returns the number of known VMs, including this one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.registered)
	if _, ok := m.registered[m.own.Name]; !ok {
		n++
	}
	return max(1, n)
}

// RegionCount returns the number of known VMs of this region, including this one.
func (m *Members) RegionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.regions[m.own.Region])
}

// EntryAddresses returns the addresses that callers of a failure domain connect to: those of the live VMs
// of the domain, else of the region, else of all live VMs. VMs that reach no target are named if more than
// half of the region are such: they pass requests on, and the others would get too many callers. own is
// true if this VM accepts callers. The result is empty if no VM does.
func (m *Members) EntryAddresses(zone, region string, own bool, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sameZone, sameRegion, any entryList
	consider := func(vm site.VM, cutOff bool) {
		any.add(vm, cutOff)
		if vm.Region == region {
			sameRegion.add(vm, cutOff)
		}
		if vm.Zone == zone {
			sameZone.add(vm, cutOff)
		}
	}
	if own {
		consider(m.own, m.ownCutOff)
	}
	for name, vm := range m.registered {
		if name != m.own.Name && m.isLive(vm, now) {
			consider(vm, m.states[name].CutOff)
		}
	}
	for _, list := range [][]string{sameZone.mostlyReaching(), sameRegion.mostlyReaching(), sameZone.all, sameRegion.all, any.all} {
		if len(list) > 0 {
			sort.Strings(list)
			return list
		}
	}
	return nil
}

// entryList holds the entry addresses of a part of the fleet.
type entryList struct {
	// reaching are those of VMs that reach targets.
	all, reaching []string
}

func (l *entryList) add(vm site.VM, cutOff bool) {
	l.all = append(l.all, vm.EntryAddress)
	if !cutOff {
		l.reaching = append(l.reaching, vm.EntryAddress)
	}
}

// mostlyReaching returns the VMs that reach targets if they are half of all or more.
func (l *entryList) mostlyReaching() []string {
	if 2*len(l.reaching) < len(l.all) {
		return nil
	}
	return l.reaching
}
