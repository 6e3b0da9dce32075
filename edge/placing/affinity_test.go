package placing

import (
	"fmt"
	"testing"
	"time"
)

// newFourTargetBalancer is a board with four targets of two slots in the own region.
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

// The target of a key is full for a moment, the others are free. Requests that went
// to the free ones took three times as long there, were late, and kept slots from
// requests that those targets knew.
func TestRequestWaitsForItsWarmTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(time.Second)
	first, _ := b.Place(now, keyRequest(now, class, 7))
	for first.Target.canAccept(now) {
		if d, _ := b.Place(now, keyRequest(now, class, 7)); d.Target != first.Target {
			t.Fatalf("%d in flight and the next went to %v", first.Target.inFlight(), d.Target)
		}
	}
	d, w := b.Place(now, keyRequest(now, class, 7))
	if w == nil {
		t.Fatalf("the request does not wait: %+v", d)
	}
	b.Done(now, first, class, Answered, 100*time.Millisecond)
	if d := <-w.Decided(); d.Target != first.Target {
		t.Errorf("it was sent to %v", d.Target)
	}
}

// The target of a key stays full. VMs that each took the freest of the others made
// all of them warm for the key; they take the same next one, and none runs the key cold
// that another VM has warmed already.
func TestObjectsOverflowToTheSameTargetFromAllVMs(t *testing.T) {
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
			t.Errorf("key %d overflows to %v", key, second)
		}
	}
}
