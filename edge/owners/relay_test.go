package owners

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

var groups = []uint32{1, 2}

// relays returns VMs of failure domains with four each, the first two domains in region n; cut are those
// that reach no target.
func relays(domains int, cut map[string]bool) (own site.VM, list []Relay) {
	for d := range domains {
		region := "n"
		if d > 1 {
			region = fmt.Sprint("r", d)
		}
		for i := range 4 {
			vm := site.VM{Name: fmt.Sprintf("d%d-%d", d, i), Zone: fmt.Sprint("d", d), Region: region, LinkMbps: 10}
			r := Relay{VM: vm}
			if cut[vm.Name] {
				r.Unreached = groups
			}
			if d == 0 && i == 0 {
				own = vm
				continue
			}
			list = append(list, r)
		}
	}
	return own, list
}

func anyVM(*Owner) bool { return true }

// shares counts the keys of each VM.
func shares(table *Table, now time.Time) map[string]int {
	counts := make(map[string]int)
	for i := range 1000 {
		if o := table.Relay(placing.HashOf(fmt.Sprint(i)), now, groups, anyVM); o != nil {
			counts[o.Name]++
		}
	}
	return counts
}

// Guards against a VM that gets the requests of a whole failure domain: the load of VMs that are cut spreads
// over those that reach targets, near ones first.
func TestRelaysShareTheLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		cut  []string
		want []string
	}{
		{"one VM is cut", nil, []string{"d0-1", "d0-2", "d0-3"}},
		{"half a domain", []string{"d0-1"}, []string{"d0-2", "d0-3", "d1-0", "d1-1", "d1-2", "d1-3"}},
		{"a domain", []string{"d0-1", "d0-2", "d0-3"}, []string{"d1-0", "d1-1", "d1-2", "d1-3"}},
		{"most of a region", []string{"d0-1", "d0-2", "d0-3", "d1-0", "d1-1", "d1-2"}, []string{"d1-3", "d2-0", "d2-1", "d2-2", "d2-3"}},
		{"all", []string{"d0-1", "d0-2", "d0-3", "d1-0", "d1-1", "d1-2", "d1-3", "d2-0", "d2-1", "d2-2", "d2-3"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut := make(map[string]bool)
			for _, name := range c.cut {
				cut[name] = true
			}
			own, list := relays(3, cut)
			table := New(own)
			table.SetRelays(list, func(site.VM) bool { return true })
			if c.name == "half a domain" {
				// Two of four are cut, so the domain's others would get as much as their own.
				c.want = []string{"d1-0", "d1-1", "d1-2", "d1-3", "d0-2", "d0-3"}
			}
			counts := shares(table, now)
			if len(counts) != len(c.want) {
				t.Errorf("keys by VM %v, want %v", counts, c.want)
			}
			for _, name := range c.want {
				if n := counts[name]; n < 1000/len(c.want)*3/4 || n > 1000/len(c.want)*4/3 {
					t.Errorf("%s has %d of 1000 keys: %v", name, n, counts)
				}
			}
		})
	}
}

// Guards against keys that are warm at one VM and placed by another: the relay of a key is the VM that owns
// it for the other VMs of the failure domain.
func TestRelayOfAKeyIsItsOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	own, list := relays(1, nil)
	table := New(own)
	table.SetRelays(list, func(site.VM) bool { return true })
	var others []site.VM
	for _, r := range list {
		if r.VM.Name != "d0-1" {
			others = append(others, r.VM)
		}
	}
	neighbour := New(site.VM{Name: "d0-1", Zone: "d0", Region: "n", LinkMbps: 10})
	neighbour.SetVMs(append(others, site.VM{Name: "d0-9", LinkMbps: 1e-9}), func(site.VM) bool { return true })
	for i := range 200 {
		key := placing.HashOf(fmt.Sprint(i))
		want := "d0-1"
		if o := neighbour.Lookup(key, now); o != nil {
			want = o.Name
		}
		if got := table.Relay(key, now, groups, anyVM); got.Name != want && want != "d0-9" {
			t.Errorf("key %d: relay %s, owner %s", i, got.Name, want)
		}
	}
}

// Guards against requests that go on being passed to a VM that does not answer, does not reach the service,
// or has gone.
func TestRelayIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	own, list := relays(1, nil)
	table := New(own)
	responsive := true
	table.SetRelays(list, func(site.VM) bool { return responsive })
	first := table.Relay(7, now, groups, anyVM)
	first.Avoid(now)
	if o := table.Relay(7, now, groups, anyVM); o == nil || o == first {
		t.Errorf("relay %v is avoided", o)
	}
	if o := table.Relay(7, now, groups, func(o *Owner) bool { return o != first }); o == first {
		t.Error("a VM that was asked is asked again")
	}
	for i := range list {
		if list[i].VM == first.VM {
			list[i].Unreached = []uint32{1}
		}
	}
	table.SetRelays(list, func(site.VM) bool { return true })
	later := now.Add(time.Minute)
	if o := table.Relay(7, later, []uint32{1}, anyVM); o == first {
		t.Error("the VM does not reach the group")
	}
	if o := table.Relay(7, later, groups, anyVM); o != first {
		t.Error("the VM reaches another group")
	}
	responsive = false
	table.SetRelays(nil, func(site.VM) bool { return responsive })
	if first.Context().Err() == nil {
		t.Error("requests wait for a VM that is unresponsive")
	}
}

// Guards against requests that are refused although a VM that reaches their targets is only slow, and against
// requests that are passed to one that does not answer.
func TestSlowRelaysAreTheLastResort(t *testing.T) {
	now := time.Unix(1000, 0)
	own, list := relays(1, nil)
	table := New(own)
	table.SetRelays(list, func(site.VM) bool { return true })
	if o := table.SlowRelay(7, now, groups, anyVM); o != nil {
		t.Errorf("%s is not slow", o.Name)
	}
	first := table.Relay(7, now, groups, anyVM)
	for range 100 {
		first.RecordOverhead(time.Second, now)
	}
	if o := table.Relay(7, now, groups, anyVM); o == nil || o == first {
		t.Errorf("relay %v while another VM is not slow", o)
	}
	if o := table.SlowRelay(7, now, groups, anyVM); o != first {
		t.Errorf("last resort %v, want %s", o, first.Name)
	}
	if o := table.SlowRelay(7, now, groups, func(o *Owner) bool { return o != first }); o != nil {
		t.Errorf("%s is not slow", o.Name)
	}
	first.Avoid(now)
	if o := table.SlowRelay(7, now, groups, anyVM); o != nil {
		t.Errorf("%s does not take requests", o.Name)
	}
}
