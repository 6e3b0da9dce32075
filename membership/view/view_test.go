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

// The seed is fixed unless -rapid.seed is given on the command line.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// interval is the time between two reads.
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

func absentIDs(absent []AbsentVM) string {
	var names []string
	for _, a := range absent {
		names = append(names, a.VM.ID)
	}
	return strings.Join(names, " ")
}

func mustShow(t *testing.T, s *Snapshot, want string) {
	t.Helper()
	if got := ids(s.List.VMs); got != want {
		t.Errorf("shown %q, want %q", got, want)
	}
}

// During an outage the last list stays usable and ages, and the absence of a VM
// does not grow.
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
			t.Errorf("absent VMs %+v, want b absent for at most one interval", s.Absent)
		}
		if calls != 2 {
			t.Errorf("subscriber calls: %d, want 2", calls)
		}
	})
}

// When a new VM gets the address of a terminated one that is still listed, the
// address must be shown once and reported as replaced.
func TestAddressReuse(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	before := tr.update(*list(1, target("a", 1), target("c", 3)), now)
	both := tr.update(*list(2, target("a", 1), target("b", 1), target("c", 3)), now.Add(time.Second))
	mustShow(t, both, "b c")
	if len(both.Absent) != 0 {
		t.Errorf("VMs %q are absent although still listed", absentIDs(both.Absent))
	}
	want := []Replacement{{Old: target("a", 1), New: target("b", 1)}}
	got := Diff(before.List.VMs, both.List.VMs).Replaced
	if diff := cmp.Diff(want, got, cmp.Comparer(func(x, y membership.VM) bool { return x == y })); diff != "" {
		t.Errorf("replaced (-want +got):\n%s", diff)
	}
}

func TestDuplicateRowIsLeaving(t *testing.T) {
	leaving := target("a", 1)
	leaving.State = membership.StateLeaving
	tr := newTracker(Options{}.withDefaults())
	s := tr.update(*list(1, target("a", 1), leaving, target("a", 1)), time.Now())
	mustShow(t, s, "a")
	if s.List.VMs[0].State != membership.StateLeaving {
		t.Error("a VM listed as both live and leaving is shown as live")
	}
}

// Alternating reads from an up-to-date and a lagging replica of the platform must
// not bring a terminated VM back.
func TestOlderReadingIsIgnored(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	tr.update(*list(7, target("a", 1), target("b", 2)), now)
	tr.update(*list(8, target("a", 1)), now)
	for range 100 {
		if s := tr.update(*list(7, target("a", 1), target("b", 2)), now); s != nil {
			t.Fatal("an older list was accepted")
		}
		if s := tr.update(*list(9, target("a", 1), target("b", 2)), now.Add(-time.Second)); s != nil {
			t.Fatal("an older reading was accepted")
		}
	}
	reset := list(1, target("a", 1))
	reset.Epoch = 1
	if s := tr.update(*reset, now); s == nil {
		t.Error("a list of a newer epoch was ignored")
	}
}

// A VM that alternates between listed and absent must change the shown list only
// a few times an hour, since each change moves traffic.
func TestFlappingIsDamped(t *testing.T) {
	now := time.Now()
	tr := newTracker(Options{}.withDefaults())
	shown, changes := true, 0
	for i := range 1800 {
		vms := []membership.VM{target("a", 1)}
		if i%10 < 5 {
			vms = append(vms, target("b", 2))
		}
		s := tr.update(membership.List{VMs: vms, Sequence: uint64(i)}, now)
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
	tr.update(membership.List{VMs: vms, Sequence: 2000}, now)
	s := tr.update(membership.List{VMs: vms, Sequence: 2001}, now.Add(DefaultMaxHoldDown))
	mustShow(t, s, "a b")
}

// TestRandomReadings checks the invariants of snapshots: sorted, unique IDs and
// addresses, only listed VMs shown, and every other known VM absent.
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
			checkInvariants(t, tr.update(membership.List{VMs: vms, Sequence: sequence}, now), listed, seen)
		}
	})
}

func checkInvariants(t *rapid.T, s *Snapshot, listed, seen map[string]bool) {
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
	absent := map[string]bool{}
	for _, a := range s.Absent {
		absent[a.VM.ID] = true
	}
	for id := range seen {
		if listed[id] == absent[id] {
			t.Fatalf("%s: listed %v, absent %v", id, listed[id], absent[id])
		}
	}
}
