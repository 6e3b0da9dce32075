package view

import (
	"flag"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/membership"
)

// The seed is fixed; the flag -rapid.seed on the command line comes later and
// wins.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// interval is the time between two readings.
const interval = 2 * time.Second

func target(id string, port uint16) membership.VM {
	return membership.VM{
		ID:      id,
		Role:    membership.RoleTarget,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

func list(sequence uint64, vms ...membership.VM) *membership.List {
	return &membership.List{VMs: vms, Sequence: sequence}
}

func ids(vms []membership.VM) string {
	var names []string
	for _, vm := range vms {
		names = append(names, vm.ID)
	}
	return strings.Join(names, " ")
}

func goneIDs(gone []AbsentVM) string {
	var names []string
	for _, g := range gone {
		names = append(names, g.VM.ID)
	}
	return strings.Join(names, " ")
}

func mustShow(t *testing.T, s *Snapshot, want string) {
	t.Helper()
	if got := ids(s.List.VMs); got != want {
		t.Errorf("shown %q, want %q", got, want)
	}
}

// Story: the platform is out for an hour. Callers go on being served by the
// VMs of the last list, whose age grows; a VM that the last answer did not
// list counts as absent only for as long as answers said so.
func TestOutageKeepsLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := New(Options{})
		calls := 0
		v.Subscribe(func(*Snapshot, Change) { calls++ })
		v.Update(*list(1, target("a", 1), target("b", 2)), time.Now())
		time.Sleep(interval)
		last := time.Now()
		v.Update(*list(2, target("a", 1)), last)
		for range 1800 {
			time.Sleep(interval)
			v.Update(*list(2, target("a", 1)), last)
		}
		s := v.Current()
		mustShow(t, s, "a")
		if age := s.Age(time.Now()); age < time.Hour-2*interval {
			t.Errorf("age %s after an hour without an answer", age)
		}
		if len(s.Absent) != 1 || s.Absent[0].Duration() > interval {
			t.Errorf("gone: %+v, want b absent for at most one interval", s.Absent)
		}
		if calls != 2 {
			t.Errorf("subscriber calls: %d, want 2", calls)
		}
	})
}

// Story: a VM ends and a new one gets its address within the lag of the list.
// Work meant for the new one must not be judged by what is known of the old
// one, and must not be sent to the address twice.
func TestReturnUnderSameAddress(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	before := tr.fold(*list(1, target("a", 1), target("c", 3)), now)
	both := tr.fold(*list(2, target("a", 1), target("b", 1), target("c", 3)), now.Add(time.Second))
	mustShow(t, both, "b c")
	if len(both.Absent) != 0 {
		t.Errorf("gone %q although still listed", goneIDs(both.Absent))
	}
	want := []Replacement{{Old: target("a", 1), New: target("b", 1)}}
	got := Diff(before.List.VMs, both.List.VMs).Replaced
	if diff := cmp.Diff(want, got, cmp.Comparer(func(x, y membership.VM) bool { return x == y })); diff != "" {
		t.Errorf("replaced (-want +got):\n%s", diff)
	}
}

func TestListedTwice(t *testing.T) {
	leaving := target("a", 1)
	leaving.State = membership.StateLeaving
	tr := newTracker(Options{}.withDefaults())
	s := tr.fold(*list(1, target("a", 1), leaving, target("a", 1)), time.Now())
	mustShow(t, s, "a")
	if s.List.VMs[0].State != membership.StateLeaving {
		t.Error("a VM listed as live and as leaving counts as live")
	}
}

// Story: two parts of the platform answer in turn, one of them behind. A VM
// that has ended would come and go with every reading.
func TestOlderReadingIsIgnored(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	tr.fold(*list(7, target("a", 1), target("b", 2)), now)
	tr.fold(*list(8, target("a", 1)), now)
	for range 100 {
		if s := tr.fold(*list(7, target("a", 1), target("b", 2)), now); s != nil {
			t.Fatal("older list was taken")
		}
		if s := tr.fold(*list(9, target("a", 1), target("b", 2)), now.Add(-time.Second)); s != nil {
			t.Fatal("older reading was taken")
		}
	}
	anew := list(1, target("a", 1))
	anew.Epoch = 1
	if s := tr.fold(*anew, now); s == nil {
		t.Error("a platform that counts anew is never believed")
	}
}

// Story: a VM is listed for five readings, gone for five, and so on for an
// hour. Each change of the list moves traffic, so their number must stay small.
func TestFlapIsBounded(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	shown, changes := true, 0
	for i := range 1800 {
		vms := []membership.VM{target("a", 1)}
		if i%10 < 5 {
			vms = append(vms, target("b", 2))
		}
		s := tr.fold(membership.List{VMs: vms, Sequence: uint64(i)}, now)
		now = now.Add(interval)
		if has := len(s.List.VMs) == 2; has != shown {
			shown = has
			changes++
		}
	}
	if changes > 7 {
		t.Errorf("shown list changed %d times", changes)
	}
	vms := []membership.VM{target("a", 1), target("b", 2)}
	tr.fold(membership.List{VMs: vms, Sequence: 2000}, now)
	s := tr.fold(membership.List{VMs: vms, Sequence: 2001}, now.Add(DefaultMaxHoldDown))
	mustShow(t, s, "a b")
}

// TestRandomReadings checks what must hold after any readings: sorted, no ID
// or address twice, only listed VMs shown, every VM once listed either listed
// or gone.
func TestRandomReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker(Options{}.withDefaults())
		now := time.Now()
		seen := map[string]bool{}
		for sequence := range uint64(rapid.IntRange(1, 20).Draw(t, "readings")) {
			listed := map[string]bool{}
			var vms []membership.VM
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
				vms = append(vms, target(id, rapid.Uint16Range(1, 3).Draw(t, "port")))
				listed[id], seen[id] = true, true
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Second)
			check(t, tr.fold(membership.List{VMs: vms, Sequence: sequence}, now), listed, seen)
		}
	})
}

func check(t *rapid.T, s *Snapshot, listed, seen map[string]bool) {
	endpoints := map[endpoint]bool{}
	for _, vm := range s.List.VMs {
		if !listed[vm.ID] {
			t.Fatalf("%s is shown and not listed", vm.ID)
		}
		if endpoints[endpointOf(vm)] {
			t.Fatalf("address %s is shown twice", vm.Address)
		}
		endpoints[endpointOf(vm)] = true
	}
	if !slices.IsSortedFunc(s.List.VMs, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) }) {
		t.Fatalf("not sorted: %s", ids(s.List.VMs))
	}
	gone := map[string]bool{}
	for _, g := range s.Absent {
		gone[g.VM.ID] = true
	}
	for id := range seen {
		if listed[id] == gone[id] {
			t.Fatalf("%s: listed %v, gone %v", id, listed[id], gone[id])
		}
	}
}
