package owners

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

func vms(names ...string) []site.VM {
	var list []site.VM
	for _, name := range names {
		list = append(list, site.VM{Name: name, PeerAddress: name + ":1"})
	}
	return list
}

func responsive(site.VM) bool { return true }

// newTable returns the table of one VM of a failure domain.
func newTable(own string, all ...string) *Table {
	t := New(site.VM{Name: own})
	var others []string
	for _, name := range all {
		if name != own {
			others = append(others, name)
		}
	}
	t.SetVMs(vms(others...), responsive)
	return t
}

// ownerName returns the name of the owner of a key by the table of a VM.
func ownerName(own string, t *Table, key uint64, now time.Time) string {
	if o := t.Lookup(key, now); o != nil {
		return o.Name
	}
	return own
}

// All VMs must agree on the owner of a key, and keys must be spread over all VMs.
func TestAllVMsFindTheSameOwner(t *testing.T) {
	names, now := []string{"a", "b", "c", "d", "e"}, time.Unix(1000, 0)
	owned := make(map[string]int)
	for key := range uint64(500) {
		first := ownerName("a", newTable("a", names...), key, now)
		owned[first]++
		for _, own := range names[1:] {
			if got := ownerName(own, newTable(own, names...), key, now); got != first {
				t.Fatalf("key %d: %s says %s, a says %s", key, own, got, first)
			}
		}
	}
	for _, name := range names {
		if owned[name] < 50 {
			t.Errorf("%s owns %d of 500 keys", name, owned[name])
		}
	}
}

// When a VM leaves, only its keys get another owner.
func TestOnlyKeysOfRemovedOwnerMove(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := newTable("a", "a", "b", "c", "d", "e"), newTable("a", "a", "b", "c", "d")
	for key := range uint64(500) {
		was, is := ownerName("a", before, key, now), ownerName("a", after, key, now)
		if was != "e" && was != is {
			t.Fatalf("key %d moved from %s to %s", key, was, is)
		}
	}
}

// With fewer than minVMs VMs, no requests are delegated.
func TestKeysAreNotDividedAmongFewVMs(t *testing.T) {
	table := newTable("a", "a", "b", "c")
	for key := range uint64(50) {
		if table.Lookup(key, time.Now()) != nil {
			t.Fatal("keys are divided among three VMs")
		}
	}
	if n := table.EffectiveVMs(); n != 1 {
		t.Errorf("%v effective VMs, want 1", n)
	}
}

// The keys of an avoided owner go to others for avoidDuration, then to it again.
func TestAvoidedOwnerIsSkippedTemporarily(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable("a", "a", "b", "c", "d")
	o := (*Owner)(nil)
	key := uint64(0)
	for ; o == nil; key++ {
		o = table.Lookup(key, now)
	}
	key--
	o.Avoid(now)
	if got := table.Lookup(key, now); got == o {
		t.Error("used while avoided")
	}
	if got := table.Lookup(key, now.Add(avoidDuration)); got != o {
		t.Error("not used again")
	}
}

// An update keeps the state of owners that stay, and cancels the context only of removed
// owners that are unresponsive.
func TestOnlyUnresponsiveOwnersAreCanceled(t *testing.T) {
	table := newTable("a", "a", "b", "c", "d", "e")
	known := *table.others.Load()
	table.SetVMs(vms("b", "c", "d"), responsive)
	for _, o := range known {
		if o.Context().Err() != nil {
			t.Errorf("%s canceled though it is responsive", o.Name)
		}
	}
	if kept := (*table.others.Load())[0]; kept != known[0] {
		t.Error("an owner that stays was replaced")
	}
	table.SetVMs(vms("b", "c"), func(vm site.VM) bool { return vm.Name != "d" })
	for _, o := range known {
		if canceled := o.Context().Err() != nil; canceled != (o.Name == "d") {
			t.Errorf("%s canceled: %v", o.Name, canceled)
		}
	}
}

// Guards against data races between concurrent updates and lookups.
func TestConcurrentUpdatesAndLookups(t *testing.T) {
	table := newTable("a", "a", "b", "c", "d")
	var updaters sync.WaitGroup
	for _, list := range [][]site.VM{vms("b", "c", "d"), vms("b", "c", "d", "e")} {
		updaters.Go(func() {
			for key := range uint64(200) {
				table.SetVMs(list, responsive)
				table.Lookup(key, time.Now())
			}
		})
	}
	updaters.Wait()
	if n := len(*table.others.Load()); n != 3 && n != 4 {
		t.Errorf("%d other VMs, want 3 or 4", n)
	}
}

// Keys must be divided by link bandwidth; an even division would saturate narrow links.
func TestKeysAreDividedByBandwidth(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(site.VM{Name: "a", LinkMbps: 10})
	list := vms("b", "c", "d", "e", "f")
	for i := range list {
		list[i].LinkMbps = 10
	}
	list[0].LinkMbps, list[1].LinkMbps = 200, 200
	table.SetVMs(list, responsive)
	owned := make(map[string]int)
	for key := range uint64(2000) {
		owned[ownerName("a", table, key, now)]++
	}
	for name, n := range owned {
		wide := name == "b" || name == "c"
		if wide && n < 700 || !wide && n > 100 {
			t.Errorf("%s owns %d of 2000 keys", name, n)
		}
	}
	if n := table.EffectiveVMs(); n < 2 || n > 2.5 {
		t.Errorf("%.1f effective VMs, want 2 to 2.5", n)
	}
}

// An owner with a high mean overhead is avoided for a while; a single slow answer has no
// effect.
func TestOwnerWithSaturatedLinkIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable("a", "a", "b", "c", "d")
	o := (*table.others.Load())[0]
	key := uint64(0)
	for table.Lookup(key, now) != o {
		key++
	}
	for range 20 {
		o.RecordOverhead(2*time.Millisecond, now)
	}
	o.RecordOverhead(100*time.Millisecond, now)
	if table.Lookup(key, now) != o {
		t.Error("avoided after one slow answer")
	}
	for range 5 {
		o.RecordOverhead(100*time.Millisecond, now)
	}
	if table.Lookup(key, now) == o {
		t.Error("still used")
	}
	if table.Lookup(key, now.Add(avoidDuration)) != o {
		t.Error("not used again")
	}
}

func BenchmarkLookup(b *testing.B) {
	var names []string
	for i := range 33 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	table, now := newTable("vm-0", names...), time.Now()
	for key := uint64(0); b.Loop(); key++ {
		table.Lookup(key, now)
	}
}
