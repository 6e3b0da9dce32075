package placing

import (
	"fmt"
	"testing"
	"time"
)

// newFourTargetBalancer returns a balancer with four targets of two slots in the local region.
func newFourTargetBalancer(now time.Time, vm string) *Balancer {
	b := New(Options{
		VM: vm, Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	b.SetTargets(now, services(0), []TargetSpec{listing("t1"), listing("t2"), listing("t3"), listing("t4")}, nil)
	return b
}

func keyRequest(now time.Time, class *Class, key uint64) *Request {
	r := request(now, class)
	r.Key, r.HasKey = key, true
	return r
}

// A request must wait for its warm target and not run cold on a free one.
func TestRequestWaitsForItsWarmTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(time.Second)
	first, _ := b.Place(now, keyRequest(now, class, 7))
	for first.Target.canAccept(now) {
		if d, _ := b.Place(now, keyRequest(now, class, 7)); d.Target != first.Target {
			t.Fatalf("with %d requests in flight the next one was sent to %v", first.Target.inFlight(), d.Target)
		}
	}
	d, w := b.Place(now, keyRequest(now, class, 7))
	if w == nil {
		t.Fatalf("request was not queued: %+v", d)
	}
	b.Done(now, first, class, Answered, 100*time.Millisecond)
	if d := <-w.Decided(); d.Target != first.Target {
		t.Errorf("queued request was sent to %v", d.Target)
	}
}

// While the target of a key is full, all VMs must overflow to the same other target, so
// that only one more becomes warm for the key.
func TestKeysOverflowToTheSameTargetFromAllVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	for key := range uint64(20) {
		second := make(map[string]bool)
		for vm := range 3 {
			b, class := newFourTargetBalancer(now, fmt.Sprint("vm", vm)), NewClass(time.Second)
			first, _ := b.Place(now, keyRequest(now, class, key))
			b.SetPeerReport(now, "other", &PeerReport{InFlight: map[uint32]int{TargetKey(first.Target.hash): 20}, At: now})
			next, _ := b.Place(now, keyRequest(now, class, key))
			if next.Target == nil || next.Target == first.Target {
				t.Fatalf("key %d: decision %+v", key, next)
			}
			second[next.Target.ID] = true
		}
		if len(second) != 1 {
			t.Errorf("key %d overflows to different targets: %v", key, second)
		}
	}
}
