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

// tableOf is the table of one VM among others.
func tableOf(own string, all ...string) *Table {
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

// nameOf is the owner of a key, by a VM's table.
func nameOf(own string, t *Table, key uint64, now time.Time) string {
	if o := t.Lookup(key, now); o != nil {
		return o.Name
	}
	return own
}

// Callers ask different VMs for the same key. If the VMs did not agree on its owner, its
// target would get requests from several VMs that know nothing of each other.
func TestAllVMsFindTheSameOwner(t *testing.T) {
	names, now := []string{"a", "b", "c", "d", "e"}, time.Unix(1000, 0)
	owned := make(map[string]int)
	for key := range uint64(500) {
		first := nameOf("a", tableOf("a", names...), key, now)
		owned[first]++
		for _, own := range names[1:] {
			if got := nameOf(own, tableOf(own, names...), key, now); got != first {
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

// One VM leaves. Only its keys get another owner, so that the targets of all others stay
// with the VMs that know them.
func TestOnlyKeysOfALostOwnerMove(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := tableOf("a", "a", "b", "c", "d", "e"), tableOf("a", "a", "b", "c", "d")
	for key := range uint64(500) {
		was, is := nameOf("a", before, key, now), nameOf("a", after, key, now)
		if was != "e" && was != is {
			t.Fatalf("key %d went from %s to %s", key, was, is)
		}
	}
}

// A failure domain has three VMs. Each sees enough of every target by itself.
func TestFewVMsOwnAllKeysThemselves(t *testing.T) {
	table := tableOf("a", "a", "b", "c")
	for key := range uint64(50) {
		if table.Lookup(key, time.Now()) != nil {
			t.Fatal("a request is passed on among three VMs")
		}
	}
	if n := table.EffectiveVMs(); n != 1 {
		t.Errorf("keys are divided among %v VMs", n)
	}
}

// An owner could not be reached. Its keys go elsewhere for a while, then to it again.
func TestAvoidedOwnerGetsNothingForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	table := tableOf("a", "a", "b", "c", "d")
	o := (*Owner)(nil)
	key := uint64(0)
	for ; o == nil; key++ {
		o = table.Lookup(key, now)
	}
	key--
	o.Avoid(now)
	if got := table.Lookup(key, now); got == o {
		t.Error("used at once")
	}
	if got := table.Lookup(key, now.Add(avoidFor)); got != o {
		t.Error("not used again")
	}
}

// The list of owners changes many times in a day. A VM that stays keeps its state, one
// that leaves as planned ends what it has, and only one that fell silent is lost.
func TestOnlyUnresponsiveOwnersAreLost(t *testing.T) {
	table := tableOf("a", "a", "b", "c", "d", "e")
	known := *table.others.Load()
	table.SetVMs(vms("b", "c", "d"), responsive)
	for _, o := range known {
		if o.Context().Err() != nil {
			t.Errorf("%s is lost though it answers", o.Name)
		}
	}
	if kept := (*table.others.Load())[0]; kept != known[0] {
		t.Error("an owner that stays was made anew")
	}
	table.SetVMs(vms("b", "c"), func(vm site.VM) bool { return vm.Name != "d" })
	for _, o := range known {
		if lost := o.Context().Err() != nil; lost != (o.Name == "d") {
			t.Errorf("%s lost: %v", o.Name, lost)
		}
	}
}

// The list of VMs and the clock both tell the table who lives, from two goroutines, while
// requests ask it. The race detector watches.
func TestTableIsSetFromTwoSides(t *testing.T) {
	table := tableOf("a", "a", "b", "c", "d")
	var sides sync.WaitGroup
	for _, list := range [][]site.VM{vms("b", "c", "d"), vms("b", "c", "d", "e")} {
		sides.Go(func() {
			for key := range uint64(200) {
				table.SetVMs(list, responsive)
				table.Lookup(key, time.Now())
			}
		})
	}
	sides.Wait()
	if n := len(*table.others.Load()); n != 3 && n != 4 {
		t.Errorf("%d others", n)
	}
}

// Two VMs of a failure domain have wide links, the others narrow ones. Divided evenly, the
// keys of callers with large answers filled the narrow links, and all of them waited.
func TestKeysAreDividedByLinks(t *testing.T) {
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
		owned[nameOf("a", table, key, now)]++
	}
	for name, n := range owned {
		wide := name == "b" || name == "c"
		if wide && n < 700 || !wide && n > 100 {
			t.Errorf("%s owns %d of 2000 keys", name, n)
		}
	}
	if n := table.EffectiveVMs(); n < 2 || n > 2.5 {
		t.Errorf("divided as among %.1f equal VMs", n)
	}
}

// The link of an owner is full, and its answers arrive long after it gave them. It gets
// nothing for a while; one slow answer among quick ones changes nothing.
func TestOwnerWithAFullLinkIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	table := tableOf("a", "a", "b", "c", "d")
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
		t.Error("avoided for one slow answer")
	}
	for range 5 {
		o.RecordOverhead(100*time.Millisecond, now)
	}
	if table.Lookup(key, now) == o {
		t.Error("still used")
	}
	if table.Lookup(key, now.Add(avoidFor)) != o {
		t.Error("not used again")
	}
}

func BenchmarkOf(b *testing.B) {
	var names []string
	for i := range 33 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	table, now := tableOf("vm-0", names...), time.Now()
	for key := uint64(0); b.Loop(); key++ {
		table.Lookup(key, now)
	}
}
