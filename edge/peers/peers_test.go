package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

var start = time.Unix(1000, 0)

func vmOf(name, zone string) site.VM {
	return site.VM{Name: name, Region: zone[:1], Zone: zone, EntryAddress: name + ":1", PeerAddress: name + ":2", Incarnation: 1}
}

func observeAll(m *Members, at time.Time, vms ...site.VM) {
	for _, vm := range vms {
		m.Observe(vm, State{At: at, Serving: true})
	}
}

// Callers are sent to their own failure domain, and elsewhere only if no VM there accepts them.
func TestEntryAddressesPreferLiveVMsNearby(t *testing.T) {
	own, mate, other, far := vmOf("own", "n1"), vmOf("mate", "n1"), vmOf("other", "n2"), vmOf("far", "s1")
	m := New(own, start)
	m.Register([]site.VM{own, mate, other, far}, start)
	observeAll(m, start, mate, other, far)
	check := func(what, zone, region string, serving bool, now time.Time, want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, m.EntryAddresses(zone, region, serving, now)); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("own domain", "n1", "n", true, start, "mate:1", "own:1")
	check("this VM is leaving", "n1", "n", false, start, "mate:1")
	check("no VM in the domain", "n3", "n", true, start, "mate:1", "other:1", "own:1")
	check("another region", "s1", "s", true, start, "far:1")
	later := start.Add(2 * time.Second)
	check("silent VMs", "n1", "n", true, later, "own:1")
	check("a silent region", "s1", "s", true, start.Add(4*time.Second), "own:1")
	m.Observe(mate, State{At: later, Serving: true, Leaving: true})
	check("another VM is leaving", "n1", "n", true, later, "own:1")
	check("nobody", "n1", "n", false, start.Add(time.Hour))
}

// Guards against losing live VMs when the store loses all registrations in an outage.
func TestResponsiveVMsOutliveTheirRegistration(t *testing.T) {
	own, mate := vmOf("own", "n1"), vmOf("mate", "n2")
	m := New(own, start)
	observeAll(m, start, mate)
	m.Register(nil, start.Add(time.Second))
	if got := m.EntryAddresses("n2", "n", true, start.Add(time.Second)); len(got) != 1 || got[0] != "mate:1" {
		t.Errorf("entries %v", got)
	}
	m.Register(nil, start.Add(time.Hour))
	if got := m.Others(); len(got) != 0 {
		t.Errorf("a VM that was silent for an hour is still a member: %v", got)
	}
}

// Guards against a region that serves stale data because its watcher is cut off from the store
// or from all VMs.
func TestStandbyWatchesWhenTheFirstIsCutOff(t *testing.T) {
	a, b, c := vmOf("a", "n1"), vmOf("b", "n1"), vmOf("c", "n2")
	m := New(b, start)
	m.Register([]site.VM{a, b, c}, start)
	if !m.ShouldWatch(start) {
		t.Error("no watcher is known, and this VM does not watch")
	}
	m.Observe(a, State{At: start, Serving: true, StoreConnected: true})
	m.Observe(c, State{At: start, Serving: true, StoreConnected: true})
	if m.ShouldWatch(start) {
		t.Error("watches in addition to the first VM")
	}
	if !m.ShouldWatch(start.Add(suspicionTimeout)) {
		t.Error("does not watch though the first VM is silent")
	}
	m.Observe(a, State{At: start, Serving: true, StoreConnected: false})
	if !m.ShouldWatch(start) {
		t.Error("does not watch though the first VM lost its connection to the store")
	}
}

// A region of any size has at least one watcher, and at most maxWatchers.
func TestNumberOfWatchersIsBounded(t *testing.T) {
	for _, size := range []int{1, 2, 8, 27, 100} {
		var vms []site.VM
		for i := range size {
			vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), "n1"))
		}
		linked := make([]bool, size)
		for range 2 * size {
			for i := range vms {
				m := New(vms[i], start)
				m.Register(vms, start)
				for j, vm := range vms {
					m.Observe(vm, State{At: start, Serving: true, StoreConnected: linked[j] && j != i})
				}
				linked[i] = m.ShouldWatch(start)
			}
		}
		n := 0
		for _, l := range linked {
			if l {
				n++
			}
		}
		if n < 1 || n > maxWatchers {
			t.Errorf("%d of %d VMs watch", n, size)
		}
	}
}

// topologiesOf returns the topology that each VM computes when those in dead are silent.
func topologiesOf(vms []site.VM, dead map[string]bool) map[string]Topology {
	now := start.Add(time.Minute)
	topologies := make(map[string]Topology)
	for _, vm := range vms {
		m := New(vm, start)
		m.Register(vms, now)
		for _, other := range vms {
			if !dead[other.Name] {
				observeAll(m, now, other)
			}
		}
		topologies[vm.Name] = m.Topology(now)
	}
	return topologies
}

func fleet(perRegion int, regions ...string) (vms []site.VM) {
	for _, region := range regions {
		for i := range perRegion {
			vms = append(vms, vmOf(fmt.Sprintf("%s-%03d", region, i), region+"1"))
		}
	}
	return vms
}

// In a small region all VMs receive all reports. In a large region all VMs select the same few
// aggregators, and the datagrams of the other VMs do not grow with the region.
func TestAggregators(t *testing.T) {
	for _, size := range []int{1, 3, 8, 9, 27, 92} {
		vms := fleet(size, "n", "s")
		topologies := topologiesOf(vms, nil)
		for _, vm := range vms {
			topology, want := topologies[vm.Name], size
			if size > fullMeshLimit {
				want = aggregatorCount
			}
			if len(topology.Aggregators) != want || len(topology.RemoteAggregators) != want || topology.Large != (size > fullMeshLimit) {
				t.Fatalf("%d VMs: %s selects %d aggregators, %d of other regions", size, vm.Name, len(topology.Aggregators), len(topology.RemoteAggregators))
			}
			if diff := cmp.Diff(topologies[vm.Region+"-000"].Aggregators, topology.Aggregators); diff != "" {
				t.Fatalf("%d VMs: %s selects other aggregators: %s", size, vm.Name, diff)
			}
		}
		if first := topologies["n-000"]; first.Large && len(first.SameDomain) != size-aggregatorCount {
			t.Errorf("%d VMs: digests go to %d", size, len(first.SameDomain))
		}
	}
}

// After the primary aggregator fails, all live VMs select the same replacement.
func TestAggregatorsAreReplaced(t *testing.T) {
	vms := fleet(27, "n")
	topologies := topologiesOf(vms, map[string]bool{"n-000": true})
	for name, topology := range topologies {
		if name == "n-000" {
			continue
		}
		if len(topology.Aggregators) != aggregatorCount || topology.Aggregators[0].Name != "n-001" || topology.Aggregators[1].Name != "n-002" {
			t.Fatalf("%s selects %v", name, topology.Aggregators)
		}
	}
}

// VMs known only from an aggregator's digest count as live, and an older state does not replace
// a newer one.
func TestIndirectReports(t *testing.T) {
	vms := fleet(27, "n")
	m := New(vms[5], start)
	now := start.Add(time.Minute)
	m.Register(vms, now)
	m.ObserveIndirect("n-020", State{At: now, Serving: true})
	m.ObserveIndirect("n-020", State{At: now.Add(-time.Second), Serving: true, Leaving: true})
	if got := m.Responsive(now); len(got) != 2 {
		t.Errorf("responsive %v", got)
	}
	if got := m.EntryAddresses("n1", "n", false, now); len(got) != 1 || got[0] != "n-020:1" {
		t.Errorf("entries %v", got)
	}
}

// A digest reaches each VM of a large region exactly once, from the aggregator or the relay of its
// failure domain, also after an aggregator or a relay has failed.
func TestEachVMReceivesOneDigest(t *testing.T) {
	var vms []site.VM
	for i := range 30 {
		vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("n%d", i%3)))
	}
	for _, dead := range []map[string]bool{nil, {"vm-004": true}, {"vm-000": true, "vm-005": true}} {
		topologies := topologiesOf(vms, dead)
		aggregator := ""
		for _, vm := range vms {
			if !dead[vm.Name] {
				aggregator = topologies[vm.Name].Aggregators[0].Name
				break
			}
		}
		got := make(map[string]int)
		for _, vm := range topologies[aggregator].SameDomain {
			got[vm.Name]++
		}
		if n := len(topologies[aggregator].Relays); n != 2 {
			t.Errorf("%d relays", n)
		}
		for _, relay := range topologies[aggregator].Relays {
			got[relay.Name]++
			for _, vm := range topologies[relay.Name].SameDomain {
				got[vm.Name]++
			}
		}
		for _, vm := range vms {
			isAggregator := slices.ContainsFunc(topologies[aggregator].Aggregators, func(a site.VM) bool { return a.Name == vm.Name })
			if !isAggregator && !dead[vm.Name] && got[vm.Name] != 1 {
				t.Errorf("dead %v: %s receives %d digests", dead, vm.Name, got[vm.Name])
			}
		}
	}
}

// Guards against a VM that stays without digests when only its link to the relay is cut: the
// aggregator sends them to it directly.
func TestVMWithoutDigestsReceivesThemDirectly(t *testing.T) {
	var vms []site.VM
	for i := range 12 {
		vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("n%d", i%2)))
	}
	m := New(vms[0], start)
	m.Register(vms, start)
	observeAll(m, start, vms[1:]...)
	if got := m.Topology(start).Unreached; len(got) != 0 {
		t.Errorf("unreached at first: %v", got)
	}
	m.Observe(vms[5], State{At: start, Serving: true, NoDigest: true})
	m.Observe(vms[5], State{At: start.Add(time.Second), Serving: true})
	if got := m.Topology(start.Add(time.Second)).Unreached; len(got) != 1 || got[0].Name != "vm-005" {
		t.Errorf("unreached %v", got)
	}
	if got := m.Topology(start.Add(directDigestPeriod)).Unreached; len(got) != 0 {
		t.Errorf("still unreached: %v", got)
	}
}

// Guards against VMs that start together, have no reports yet and each use the full rate of a
// cold target.
func TestNewVMCountsRegisteredVMsAsResponsive(t *testing.T) {
	vms := fleet(27, "n")
	m := New(vms[5], start)
	if got := m.Responsive(start); len(got) != 1 {
		t.Errorf("responsive without registered VMs: %v", got)
	}
	m.Register(vms, start)
	if got := m.Responsive(start); len(got) != len(vms) {
		t.Errorf("%d VMs are responsive, want %d", len(got), len(vms))
	}
	m.Observe(vms[6], State{At: start.Add(suspicionTimeout), Serving: true})
	if got := m.Responsive(start.Add(suspicionTimeout)); len(got) != 2 {
		t.Errorf("responsive after the others fell silent: %v", got)
	}
}

// Guards against isolated VMs that each use the full rate of a cold target.
func TestWorkSharersNeedAQuorum(t *testing.T) {
	vms := fleet(27, "n")
	m := New(vms[5], start)
	m.Register(vms, start)
	observeAll(m, start, vms...)
	cut := start.Add(time.Minute)
	if got := m.WorkSharers(cut); len(got) != len(vms) {
		t.Errorf("%d VMs share work while all others are silent, want all %d", len(got), len(vms))
	}
	observeAll(m, cut, vms[6:18]...)
	if got := m.WorkSharers(cut); len(got) != len(vms) {
		t.Errorf("%d VMs share work in the smaller part of a region, want all %d", len(got), len(vms))
	}
	observeAll(m, cut, vms[18])
	if got := m.WorkSharers(cut); len(got) != 14 {
		t.Errorf("%d VMs share work in the larger part, want its 14 VMs", len(got))
	}
	m.Register(vms[5:8], cut.Add(time.Minute))
	if got := m.WorkSharers(cut.Add(time.Minute)); len(got) != 3 {
		t.Errorf("%d VMs share work, want the 3 that the store still lists", len(got))
	}
}

// Guards against a VM that receives no reports, as it is stopping or isolated, and abandons the
// requests that other VMs work on for its callers.
func TestIsolatedVMDoesNotSuspectOthers(t *testing.T) {
	own, mate, other := vmOf("own", "n1"), vmOf("mate", "n1"), vmOf("other", "n2")
	m := New(own, start)
	m.Register([]site.VM{own, mate, other}, start)
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		observeAll(m, now, mate, other)
	}
	last := now
	for ; now.Sub(last) < 2*suspicionTimeout; now = now.Add(100 * time.Millisecond) {
		live, known := m.LiveInDomain(now)
		if known && len(live) != 1 {
			t.Fatalf("%v after the last report the VM considers its neighbour failed", now.Sub(last))
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		observeAll(m, now, other)
	}
	if live, known := m.LiveInDomain(now); !known || len(live) != 0 {
		t.Errorf("live %v, known %v while only the neighbour is silent", live, known)
	}
}

// VMs must agree on coordinators: one in another region stays a candidate although its last report
// to this region is old.
func TestCoordinatorsOfOtherRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(site.VM{Name: "own", Region: "r", Zone: "z"}, now)
	near, far := site.VM{Name: "near", Region: "r", Zone: "z"}, site.VM{Name: "far", Region: "q", Zone: "y"}
	m.Register([]site.VM{near, far}, now)
	m.Observe(near, State{At: now, Serving: true})
	m.Observe(far, State{At: now, Serving: true})
	later := now.Add(time.Minute)
	if got := m.Coordinators(true, later); len(got["r"]) != 1 || got["r"][0].Name != "own" || len(got["q"]) != 1 {
		t.Errorf("coordinators %v", got)
	}
	m.Observe(far, State{At: later, Serving: true, Leaving: true})
	if got := m.Coordinators(false, later); len(got) != 0 {
		t.Errorf("coordinators %v", got)
	}
}

// Guards against callers that are sent to a VM which reaches no target, to the few that do, or to another region:
// a VM that is cut off passes requests on.
func TestCallersOfVMsThatAreCutOff(t *testing.T) {
	vms := []site.VM{vmOf("own", "n1"), vmOf("mate", "n1"), vmOf("near1", "n2"), vmOf("near2", "n2"), vmOf("far1", "s1"), vmOf("far2", "s1")}
	for _, c := range []struct {
		cut  []string
		want []string
	}{
		{nil, []string{"mate:1", "own:1"}},
		{[]string{"mate"}, []string{"own:1"}},
		{[]string{"own"}, []string{"mate:1"}},
		{[]string{"own", "mate"}, []string{"near1:1", "near2:1"}},
		{[]string{"own", "mate", "near1"}, []string{"mate:1", "own:1"}},
		{[]string{"own", "mate", "near1", "near2"}, []string{"mate:1", "own:1"}},
	} {
		m := New(vms[0], start)
		m.Register(vms, start)
		for _, vm := range vms[1:] {
			m.Observe(vm, State{At: start, Serving: true, CutOff: slices.Contains(c.cut, vm.Name), Unreached: []uint32{7}})
		}
		m.SetCutOff(slices.Contains(c.cut, "own"))
		if diff := cmp.Diff(c.want, m.EntryAddresses("n1", "n", true, start)); diff != "" {
			t.Errorf("cut off %v: %s", c.cut, diff)
		}
		live, _ := m.LiveInDomain(start)
		if len(live) == 1 == slices.Contains(c.cut, "mate") {
			t.Errorf("cut off %v: owners of keys %v", c.cut, live)
		}
		if reach := m.LiveReach(start); len(reach) != len(vms)-1 || len(reach[0].Unreached) != 1 {
			t.Errorf("%v", reach)
		}
	}
}
