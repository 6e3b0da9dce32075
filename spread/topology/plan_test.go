package topology

import (
	"fmt"
	"testing"
)

// vms returns a fleet of the given shape.
func vms(regions, failureDomains, perDomain int) []Member {
	var out []Member
	for r := range regions {
		for p := range failureDomains {
			for v := range perDomain {
				out = append(out, Member{
					VM:            fmt.Sprintf("r%d-p%d-vm%d", r, p, v),
					Region:        fmt.Sprintf("r%d", r),
					FailureDomain: fmt.Sprintf("r%d-p%d", r, p),
				})
			}
		}
	}
	return out
}

// firstChoices counts how many VMs prefer each upstream, and the watchers.
func firstChoices(members []Member) (first map[string]int, watchers int) {
	first = map[string]int{}
	for _, m := range members {
		p := Build(members, m)
		if p.Role == Watcher {
			watchers++
		}
		for _, order := range p.Upstreams {
			if len(order) > 0 {
				first[order[0].VM]++
			}
		}
	}
	return first, watchers
}

// The number of watchers must not grow with the fleet, and no VM may be the
// first choice of more nodes than it accepts.
func TestWatchersConstantAndFanOutBounded(t *testing.T) {
	for _, perDomain := range []int{1, 2, 4, 11, 32, 60} {
		members := vms(4, 2, perDomain)
		first, watchers := firstChoices(members)
		if watchers != 4*WatchersPerRegion {
			t.Errorf("%d VMs: %d watchers", len(members), watchers)
		}
		for vm, n := range first {
			if n > MaxSubscribers {
				t.Errorf("%d VMs: %s is first choice of %d", len(members), vm, n)
			}
		}
	}
}

// Nodes in a cycle would exchange equal digests without a source, so every
// upstream of a non-watcher must be closer to the store.
func TestNoCycleBelowWatchers(t *testing.T) {
	members := vms(3, 2, 50)
	depth := map[string]int{}
	for _, m := range members {
		p := Build(members, m)
		depth[m.VM] = p.Level + 1
		if p.Role == Watcher {
			depth[m.VM] = 0
		}
	}
	for _, m := range members {
		p := Build(members, m)
		if p.Role == Watcher {
			continue
		}
		for _, up := range p.Upstreams[0] {
			if depth[up.VM] >= depth[m.VM] {
				t.Fatalf("%s at depth %d follows %s at %d", m.VM, depth[m.VM], up.VM, depth[up.VM])
			}
		}
	}
}

// The watchers of a region must be in different failure domains.
func TestWatchersInDifferentFailureDomains(t *testing.T) {
	members := vms(4, 3, 5)
	failureDomains := map[string]bool{}
	for _, m := range members {
		if Build(members, m).Role == Watcher {
			if failureDomains[m.FailureDomain] {
				t.Fatalf("two watchers in %s", m.FailureDomain)
			}
			failureDomains[m.FailureDomain] = true
		}
	}
}

// Removing one VM may change the first upstream only of its subscribers and of
// nodes that move up by one rank.
func TestRemovingVMMovesFewNodes(t *testing.T) {
	members := vms(6, 3, 30)
	moved, limit := 0, 2*FanOut+2*watcherSubscriptions
	without := members[1:]
	for _, m := range without {
		a, b := Build(members, m), Build(without, m)
		if a.Upstreams[0][0].VM != b.Upstreams[0][0].VM {
			moved++
		}
	}
	if moved > limit {
		t.Fatalf("%d of %d nodes moved, at most %d may", moved, len(without), limit)
	}
}

const watcherSubscriptions = 2

// Leaving VMs must not be selected as upstreams, since their subscribers would
// soon have to move again.
func TestLeavingVMIsNoUpstream(t *testing.T) {
	members := vms(2, 2, 4)
	for i := range members {
		members[i].Leaving = i%2 == 0
	}
	for _, m := range members {
		for _, order := range Build(members, m).Upstreams {
			for _, up := range order {
				if up.Leaving {
					t.Fatalf("%s follows %s, which is leaving", m.VM, up.VM)
				}
			}
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, perDomain := range []int{3, 31} {
		members := vms(6, 3, perDomain)
		b.Run(fmt.Sprintf("nodes=%d", len(members)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(members, members[len(members)/2])
			}
		})
	}
}
