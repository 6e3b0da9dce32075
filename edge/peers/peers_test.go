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

func hear(b *Members, at time.Time, vms ...site.VM) {
	for _, vm := range vms {
		b.Observe(vm, State{At: at, Serving: true})
	}
}

// Callers are sent to their failure domain, and elsewhere only when nobody there
// takes them.
func TestEntriesAreNearAndLive(t *testing.T) {
	own, mate, other, far := vmOf("own", "n1"), vmOf("mate", "n1"), vmOf("other", "n2"), vmOf("far", "s1")
	b := New(own, start)
	b.Register([]site.VM{own, mate, other, far}, start)
	hear(b, start, mate, other, far)
	check := func(what, zone, region string, serving bool, now time.Time, want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, b.EntryAddresses(zone, region, serving, now)); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("own domain", "n1", "n", true, start, "mate:1", "own:1")
	check("this VM leaves", "n1", "n", false, start, "mate:1")
	check("no VM in the domain", "n3", "n", true, start, "mate:1", "other:1", "own:1")
	check("another region", "s1", "s", true, start, "far:1")
	later := start.Add(2 * time.Second)
	check("silent VMs", "n1", "n", true, later, "own:1")
	check("a silent region", "s1", "s", true, start.Add(4*time.Second), "own:1")
	b.Observe(mate, State{At: later, Serving: true, Leaving: true})
	check("a VM that leaves", "n1", "n", true, later, "own:1")
	check("nobody", "n1", "n", false, start.Add(time.Hour))
}

// The store loses all registrations in an outage. VMs that are heard stay known, and
// callers of a small domain still find theirs.
func TestHeardVMsOutliveTheirRegistration(t *testing.T) {
	own, mate := vmOf("own", "n1"), vmOf("mate", "n2")
	b := New(own, start)
	hear(b, start, mate)
	b.Register(nil, start.Add(time.Second))
	if got := b.EntryAddresses("n2", "n", true, start.Add(time.Second)); len(got) != 1 || got[0] != "mate:1" {
		t.Errorf("entries %v", got)
	}
	b.Register(nil, start.Add(time.Hour))
	if got := b.Others(); len(got) != 0 {
		t.Errorf("a VM that is silent for an hour is known: %v", got)
	}
}

// The VM that watches the store for its region is cut off, from the store or from
// all. Without another one in its place the region would serve what it knew.
func TestAnotherWatchesWhenTheFirstIsCutOff(t *testing.T) {
	a, b, c := vmOf("a", "n1"), vmOf("b", "n1"), vmOf("c", "n2")
	book := New(b, start)
	book.Register([]site.VM{a, b, c}, start)
	if !book.ShouldWatch(start) {
		t.Error("nobody is heard to watch, and this VM does not")
	}
	book.Observe(a, State{At: start, Serving: true, StoreConnected: true})
	book.Observe(c, State{At: start, Serving: true, StoreConnected: true})
	if book.ShouldWatch(start) {
		t.Error("watches beside the first one")
	}
	if !book.ShouldWatch(start.Add(suspicionTimeout)) {
		t.Error("does not watch though the first one is silent")
	}
	book.Observe(a, State{At: start, Serving: true, StoreConnected: false})
	if !book.ShouldWatch(start) {
		t.Error("does not watch though the first one has lost the store")
	}
}

// In a region of any size somebody watches, and few do.
func TestFewWatch(t *testing.T) {
	for _, size := range []int{1, 2, 8, 27, 100} {
		var vms []site.VM
		for i := range size {
			vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), "n1"))
		}
		linked := make([]bool, size)
		for range 2 * size {
			for i := range vms {
				book := New(vms[i], start)
				book.Register(vms, start)
				for j, vm := range vms {
					book.Observe(vm, State{At: start, Serving: true, StoreConnected: linked[j] && j != i})
				}
				linked[i] = book.ShouldWatch(start)
			}
		}
		n := 0
		for _, l := range linked {
			if l {
				n++
			}
		}
		if n < 1 || n > maxWatches {
			t.Errorf("%d of %d VMs watch", n, size)
		}
	}
}

// groupsOf returns what each of the VMs finds, when those in dead are silent.
func groupsOf(vms []site.VM, dead map[string]bool) map[string]Topology {
	now := start.Add(time.Minute)
	groups := make(map[string]Topology)
	for _, vm := range vms {
		b := New(vm, start)
		b.Register(vms, now)
		for _, other := range vms {
			if !dead[other.Name] {
				hear(b, now, other)
			}
		}
		groups[vm.Name] = b.Topology(now)
	}
	return groups
}

func fleet(perRegion int, regions ...string) (vms []site.VM) {
	for _, region := range regions {
		for i := range perRegion {
			vms = append(vms, vmOf(fmt.Sprintf("%s-%03d", region, i), region+"1"))
		}
	}
	return vms
}

// In a small region each VM hears every other one. In a large one the same few hear all,
// and the datagrams of the others do not grow with the region.
func TestListeners(t *testing.T) {
	for _, size := range []int{1, 3, 8, 9, 27, 92} {
		vms := fleet(size, "n", "s")
		groups := groupsOf(vms, nil)
		for _, vm := range vms {
			g, want := groups[vm.Name], size
			if size > smallRegion {
				want = listeners
			}
			if len(g.Aggregators) != want || len(g.RemoteAggregators) != want || g.Large != (size > smallRegion) {
				t.Fatalf("%d VMs: %s finds %d listeners, %d far ones", size, vm.Name, len(g.Aggregators), len(g.RemoteAggregators))
			}
			if diff := cmp.Diff(groups[vm.Region+"-000"].Aggregators, g.Aggregators); diff != "" {
				t.Fatalf("%d VMs: %s finds others: %s", size, vm.Name, diff)
			}
		}
		if first := groups["n-000"]; first.Large && len(first.SameDomain) != size-listeners {
			t.Errorf("%d VMs: digests for %d", size, len(first.SameDomain))
		}
	}
}

// The first listener dies. All that live find the same ones in its place.
func TestListenersAreReplaced(t *testing.T) {
	vms := fleet(27, "n")
	groups := groupsOf(vms, map[string]bool{"n-000": true})
	for name, g := range groups {
		if name == "n-000" {
			continue
		}
		if len(g.Aggregators) != listeners || g.Aggregators[0].Name != "n-001" || g.Aggregators[1].Name != "n-002" {
			t.Fatalf("%s finds %v", name, g.Aggregators)
		}
	}
}

// A VM hears of the others by a listener only. They count as live for it, and older news
// does not replace newer one.
func TestHeardOfByAListener(t *testing.T) {
	vms := fleet(27, "n")
	b := New(vms[5], start)
	now := start.Add(time.Minute)
	b.Register(vms, now)
	b.ObserveIndirect("n-020", State{At: now, Serving: true})
	b.ObserveIndirect("n-020", State{At: now.Add(-time.Second), Serving: true, Leaving: true})
	if got := b.Responsive(now); len(got) != 2 {
		t.Errorf("near %v", got)
	}
	if got := b.EntryAddresses("n1", "n", false, now); len(got) != 1 || got[0] != "n-020:1" {
		t.Errorf("entries %v", got)
	}
}

// A digest reaches each VM of a large region once, by the listener or by the relay of its
// failure domain, and only relays get one across failure domains. One is dead: the next VM
// there takes its place.
func TestEachVMGetsADigest(t *testing.T) {
	var vms []site.VM
	for i := range 30 {
		vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("n%d", i%3)))
	}
	for _, dead := range []map[string]bool{nil, {"vm-004": true}, {"vm-000": true, "vm-005": true}} {
		groups := groupsOf(vms, dead)
		listener := ""
		for _, vm := range vms {
			if !dead[vm.Name] {
				listener = groups[vm.Name].Aggregators[0].Name
				break
			}
		}
		got := make(map[string]int)
		for _, vm := range groups[listener].SameDomain {
			got[vm.Name]++
		}
		if n := len(groups[listener].Relays); n != 2 {
			t.Errorf("%d relays", n)
		}
		for _, relay := range groups[listener].Relays {
			got[relay.Name]++
			for _, vm := range groups[relay.Name].SameDomain {
				got[vm.Name]++
			}
		}
		for _, vm := range vms {
			isListener := slices.ContainsFunc(groups[listener].Aggregators, func(l site.VM) bool { return l.Name == vm.Name })
			if !isListener && !dead[vm.Name] && got[vm.Name] != 1 {
				t.Errorf("dead %v: %s gets %d digests", dead, vm.Name, got[vm.Name])
			}
		}
	}
}

// The link between a VM and the relay of its failure domain is cut, and both are there for
// the listener. The VM says that it gets no digest, and has them from the listener itself.
func TestAVMWithoutDigestsGetsThemFromTheListener(t *testing.T) {
	var vms []site.VM
	for i := range 12 {
		vms = append(vms, vmOf(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("n%d", i%2)))
	}
	b := New(vms[0], start)
	b.Register(vms, start)
	hear(b, start, vms[1:]...)
	if got := b.Topology(start).Unreached; len(got) != 0 {
		t.Errorf("unreached at first: %v", got)
	}
	b.Observe(vms[5], State{At: start, Serving: true, NoDigest: true})
	b.Observe(vms[5], State{At: start.Add(time.Second), Serving: true})
	if got := b.Topology(start.Add(time.Second)).Unreached; len(got) != 1 || got[0].Name != "vm-005" {
		t.Errorf("unreached %v", got)
	}
	if got := b.Topology(start.Add(directFor)).Unreached; len(got) != 0 {
		t.Errorf("still unreached: %v", got)
	}
}

// All VMs lose their power and start at once, and targets have just become cold. Each VM
// had heard nobody and took itself for the only one of its region: all sent their first
// request to the same cold target (dphbd-route-grown, trouble-1 with seed 543012403773:
// 16 in a second, 13.6 were allowed). The list of the store has the others.
func TestANewVMCountsTheOthersAsLive(t *testing.T) {
	vms := fleet(27, "n")
	b := New(vms[5], start)
	if got := b.Responsive(start); len(got) != 1 {
		t.Errorf("near without a list: %v", got)
	}
	b.Register(vms, start)
	if got := b.Responsive(start); len(got) != len(vms) {
		t.Errorf("%d VMs near, want %d", len(got), len(vms))
	}
	b.Observe(vms[6], State{At: start.Add(suspicionTimeout), Serving: true})
	if got := b.Responsive(start.Add(suspicionTimeout)); len(got) != 2 {
		t.Errorf("near once the others are silent: %v", got)
	}
}

// A switch cuts several VMs off from all others, one by one, while targets are cold.
// Each of them heard nobody, took itself for the only VM of its region and sent to every
// cold target at the full rate: in sum as many times the rate as VMs were cut off. The
// store's list says that the others exist.
func TestACutOffVMCountsTheOthersAsLive(t *testing.T) {
	vms := fleet(27, "n")
	b := New(vms[5], start)
	b.Register(vms, start)
	hear(b, start, vms...)
	cut := start.Add(time.Minute)
	if got := b.WorkSharers(cut); len(got) != len(vms) {
		t.Errorf("%d VMs near without any that is heard, want all %d", len(got), len(vms))
	}
	hear(b, cut, vms[6:18]...)
	if got := b.WorkSharers(cut); len(got) != len(vms) {
		t.Errorf("%d VMs near in the smaller part of a region, want all %d", len(got), len(vms))
	}
	hear(b, cut, vms[18])
	if got := b.WorkSharers(cut); len(got) != 14 {
		t.Errorf("%d VMs near in the larger part, want the 14 of it", len(got))
	}
	b.Register(vms[5:8], cut.Add(time.Minute))
	if got := b.WorkSharers(cut.Add(time.Minute)); len(got) != 3 {
		t.Errorf("%d VMs near, want the 3 that the store still lists", len(got))
	}
}

// A VM stops as planned and gets no reports from then on. All others seemed to be
// unresponsive to it after 1.5 s, and it gave up the requests that they worked on for its
// callers. It knows from the end of all reports that it is cut off itself; one VM that falls
// silent while others report is another matter.
func TestVMWithoutReportsDoesNotJudgeOthers(t *testing.T) {
	own, mate, other := vmOf("own", "n1"), vmOf("mate", "n1"), vmOf("other", "n2")
	m := New(own, start)
	m.Register([]site.VM{own, mate, other}, start)
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		hear(m, now, mate, other)
	}
	last := now
	for ; now.Sub(last) < 2*suspicionTimeout; now = now.Add(100 * time.Millisecond) {
		live, known := m.LiveInDomain(now)
		if known && len(live) != 1 {
			t.Fatalf("%v after the last report the VM takes its mate to be gone", now.Sub(last))
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		hear(m, now, other)
	}
	if live, known := m.LiveInDomain(now); !known || len(live) != 0 {
		t.Errorf("live %v, known %v while only the mate is silent", live, known)
	}
}
