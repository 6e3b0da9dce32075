// Package peers keeps what is known of the other entry VMs: what they registered,
// and what they reported lately. It decides which of them callers are sent to.
package peers

import (
	"sort"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// suspicionTimeout is how long a VM of the own region may report nothing before callers are
// not sent to it: its heartbeat comes four times a second, and a paused one is back by then
// or has lost its callers anyway.
const suspicionTimeout = 1500 * time.Millisecond

// farSuspicionTimeout is the same for VMs of other regions, whose heartbeat comes twice a
// second. In large fleets reports of only some of them arrive, and the others are taken to
// live as long as the store lists them.
const farSuspicionTimeout = 3 * time.Second

// State is what a VM reported last.
type State struct {
	At      time.Time
	Serving bool
	Leaving bool
	// StoreConnected tells that it watches the store and is answered.
	StoreConnected bool
	// NoDigest tells that no digest reaches it.
	NoDigest bool
}

// Members holds the VMs. It is safe for use by several goroutines.
type Members struct {
	own site.VM
	// started is when this VM began to listen.
	started time.Time

	mu         sync.Mutex
	registered map[string]site.VM
	// regions are the registered VMs and this one by region, each region's by name.
	// They are made anew when the registered VMs change, and not for each call.
	regions map[string][]site.VM
	states  map[string]State
	// withoutAt is when a VM last reported that no digest reaches it.
	withoutAt map[string]time.Time
}

// New returns members that hold this VM only.
func New(own site.VM, now time.Time) *Members {
	m := &Members{own: own, started: now, registered: make(map[string]site.VM), states: make(map[string]State),
		withoutAt: make(map[string]time.Time)}
	m.sortRegions()
	return m
}

// Register replaces the registered VMs. A VM that has reported lately stays
// known without a registration: the store may have lost it in an outage.
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
	m.sortRegions()
}

// sortRegions is called with the lock held.
func (m *Members) sortRegions() {
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

// Observe takes in a report of a VM. It is known from then on, also if the store has
// lost its registration. It reports whether that is news.
func (m *Members) Observe(vm site.VM, s State) (news bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[vm.Name] = s
	if s.NoDigest {
		m.withoutAt[vm.Name] = s.At
	}
	if known, ok := m.registered[vm.Name]; ok && known.Incarnation >= vm.Incarnation {
		return false
	}
	m.registered[vm.Name] = vm
	m.sortRegions()
	return true
}

// Others returns the registered VMs but this one, by name.
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

// isResponsive reports whether a VM's last report is recent enough.
func (m *Members) isResponsive(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	return ok && now.Sub(state.At) < m.timeoutOf(vm)
}

func (m *Members) timeoutOf(vm site.VM) time.Duration {
	if vm.Region == m.own.Region {
		return suspicionTimeout
	}
	return farSuspicionTimeout
}

// live reports whether callers may be sent to a VM. One that has not reported
// yet is given the benefit of the doubt while this VM is new itself, or is distant.
func (m *Members) live(vm site.VM, now time.Time) bool {
	state, ok := m.states[vm.Name]
	if !ok {
		return vm.Region != m.own.Region || now.Sub(m.started) < suspicionTimeout
	}
	return now.Sub(state.At) < m.timeoutOf(vm) && state.Serving && !state.Leaving
}

// isolatedAfter is how long no VM of the own region may be heard of before this VM takes
// itself to be the one that gets no reports. It is longer than full digests are apart, and
// shorter by more than their age than a VM may be silent.
const isolatedAfter = 700 * time.Millisecond

// LiveInDomain returns the other VMs of the own failure domain that report that they take
// callers, by name. It returns false if that is not known, as no report comes at all.
//
// Guard against a VM that gets no reports, as it stops or is cut off from datagrams: all
// others would seem to be unresponsive to it one after the other, and it would give up the
// requests that they work on. It shows as requests of a VM's callers that are lost 1.5 s
// after its planned stop began. The guard holds because all reports end at once, long
// before the first VM is taken to be unresponsive.
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
		if vm.Zone == m.own.Zone && m.live(vm, now) {
			live = append(live, vm)
		}
	}
	return live, now.Sub(newest) < isolatedAfter
}

// IsResponsive reports whether a VM has reported lately.
func (m *Members) IsResponsive(vm site.VM, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isResponsive(vm, now)
}

// ObserveIndirect takes in what a listener knows of a VM that may not report to this one.
func (m *Members) ObserveIndirect(name string, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.states[name]; name != m.own.Name && (!ok || s.At.After(last.At)) {
		m.states[name] = s
	}
}

// RegionStates returns the last reports of the VMs of the own region that are registered.
func (m *Members) RegionStates() map[string]State {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]State)
	for name, vm := range m.registered {
		if state, ok := m.states[name]; ok && vm.Region == m.own.Region {
			seen[name] = state
		}
	}
	return seen
}

// Responsive returns the names of the responsive VMs of the own region, this one included.
//
// Guard against VMs that start at once and have had no report yet: each would take itself for
// the only one, and all would send to the same cold target. It shows as a target that gets
// a request from every VM within a moment. The guard holds because a VM that is new itself
// counts all registered ones until their reports should have come.
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

// WorkSharers returns the names of the VMs of the own region among which work is divided,
// this one included: the responsive ones, or all that are listed while less than half of
// them is responsive.
//
// Guard against VMs that were cut off from all others: each would take itself for the only
// one, and all would send to the same cold target. It shows as a target that gets a request
// from every such VM within a moment. The guard holds because at most two parts of a region
// have reports of half of it each, so there are at most two views besides the list's.
func (m *Members) WorkSharers(now time.Time) []string {
	near := m.Responsive(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.regions[m.own.Region]
	if 2*len(near) >= len(all) {
		return near
	}
	names := make([]string, 0, len(all))
	for _, vm := range all {
		names = append(names, vm.Name)
	}
	return names
}

const (
	// vmsPerWatch is how many VMs of a region follow one that watches the store,
	// maxWatches how many watch in one region: one, and one that goes on when it is turned
	// away. Calls have a price, and the store's rates do not grow with the fleet.
	vmsPerWatch = 8
	maxWatches  = 2
)

// ShouldWatch reports whether this VM watches the store: the first ones of each region
// do, of those that are answered. One that is unresponsive, or not answered, is
// replaced by the next as soon as it is noticed.
func (m *Members) ShouldWatch(now time.Time) bool {
	return m.isAmongFirst(now, maxWatches, isLinked)
}

func isLinked(s State) bool { return s.StoreConnected && !s.Leaving }

// IsWatchLeader reports whether this VM is the first of those that watch the store.
func (m *Members) IsWatchLeader(now time.Time) bool { return m.isAmongFirst(now, 1, isLinked) }

// IsDefaultWatcher reports whether this VM is one of those that watch while the store
// answers all.
func (m *Members) IsDefaultWatcher(now time.Time) bool {
	return m.isAmongFirst(now, maxWatches, func(s State) bool { return !s.Leaving })
}

// isAmongFirst reports whether few enough of the VMs that count come before this one.
func (m *Members) isAmongFirst(now time.Time, most int, counts func(State) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	near, before := 1, 0
	for name, vm := range m.registered {
		if name == m.own.Name || vm.Region != m.own.Region || !m.isResponsive(vm, now) {
			continue
		}
		near++
		if name < m.own.Name && counts(m.states[name]) {
			before++
		}
	}
	return before < min(most, max(1, near/vmsPerWatch))
}

// Count returns how many VMs are known, this one included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.registered)
	if _, ok := m.registered[m.own.Name]; !ok {
		n++
	}
	return max(1, n)
}

// EntryAddresses returns where callers of a failure domain connect: the live VMs of their
// domain, else of their region, else all live ones. own tells whether this VM
// takes callers. The result is empty if no VM does.
func (m *Members) EntryAddresses(zone, region string, own bool, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sameZone, sameRegion, any []string
	consider := func(vm site.VM) {
		any = append(any, vm.EntryAddress)
		if vm.Region == region {
			sameRegion = append(sameRegion, vm.EntryAddress)
		}
		if vm.Zone == zone {
			sameZone = append(sameZone, vm.EntryAddress)
		}
	}
	if own {
		consider(m.own)
	}
	for name, vm := range m.registered {
		if name != m.own.Name && m.live(vm, now) {
			consider(vm)
		}
	}
	for _, list := range [][]string{sameZone, sameRegion, any} {
		if len(list) > 0 {
			sort.Strings(list)
			return list
		}
	}
	return nil
}
