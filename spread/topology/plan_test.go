package topology

import (
	"fmt"
	"testing"
)

// vms returns a fleet of regions with places and VMs each, by position.
func vms(regions, places, perPlace int) []Member {
	var out []Member
	for r := range regions {
		for p := range places {
			for v := range perPlace {
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

// load counts how many VMs name each one first, and the watchers.
func load(members []Member) (first map[string]int, watchers int) {
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

// The store counts a waiting watch as a call, so the watchers must not grow
// with the fleet; and no VM may be planned to serve more than it takes.
func TestWatchersConstantAndFanOutBounded(t *testing.T) {
	for _, perPlace := range []int{1, 2, 4, 11, 32, 60} {
		members := vms(4, 2, perPlace)
		first, watchers := load(members)
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

// A circle of nodes would hear heartbeats with equal digests from each other
// while no source feeds any of them. Every upstream but those of the watchers
// must be nearer to the store.
func TestNoCircleBelowWatchers(t *testing.T) {
	members := vms(3, 2, 50)
	height := map[string]int{}
	for _, m := range members {
		p := Build(members, m)
		height[m.VM] = p.Level + 1
		if p.Role == Watcher {
			height[m.VM] = 0
		}
	}
	for _, m := range members {
		p := Build(members, m)
		if p.Role == Watcher {
			continue
		}
		for _, up := range p.Upstreams[0] {
			if height[up.VM] >= height[m.VM] {
				t.Fatalf("%s at height %d follows %s at %d", m.VM, height[m.VM], up.VM, height[up.VM])
			}
		}
	}
}

// A rack holds both watchers of a region and the region is cut from the store.
func TestWatchersInDifferentPlaces(t *testing.T) {
	members := vms(4, 3, 5)
	places := map[string]bool{}
	for _, m := range members {
		if Build(members, m).Role == Watcher {
			if places[m.FailureDomain] {
				t.Fatalf("two watchers in %s", m.FailureDomain)
			}
			places[m.FailureDomain] = true
		}
	}
}

// One VM of many ends. Only nodes that followed it, or that move up by one
// rank, may change their first upstream; a reshuffle would reconnect the fleet
// twice a day.
func TestOneVMLessMovesFew(t *testing.T) {
	members := vms(6, 3, 30)
	moved, limit := 0, 2*FanOut+2*subscriptionsOfWatchers
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

const subscriptionsOfWatchers = 2

// A leaving VM ends soon; nodes that follow it would have to move again.
func TestLeavingVMGetsNoTask(t *testing.T) {
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
	for _, perPlace := range []int{3, 31} {
		members := vms(6, 3, perPlace)
		b.Run(fmt.Sprintf("nodes=%d", len(members)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(members, members[len(members)/2])
			}
		})
	}
}
