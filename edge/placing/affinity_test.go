package placing

import (
	"fmt"
	"testing"
	"time"
)

// fourTargets is a board with four targets of two slots in the own region.
func fourTargets(now time.Time, vm string) *Board {
	b := New(Options{
		VM: vm, Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		Delay: func(string) time.Duration { return time.Millisecond },
	})
	b.SetTargets(now, services(0), []Listing{listing("t1"), listing("t2"), listing("t3"), listing("t4")}, nil)
	return b
}

func objectRequest(now time.Time, class *Class, object uint64) *Request {
	r := request(now, class)
	r.Object, r.HasObject = object, true
	return r
}

// The target of an object is full for a moment, the others are free. Requests that went
// to the free ones took three times as long there, were late, and kept slots from
// requests that those targets knew.
func TestRequestWaitsForTheTargetThatKnowsItsObject(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := fourTargets(now, "vm"), NewClass(time.Second)
	first, _ := b.Place(now, objectRequest(now, class, 7))
	for first.Target.open(now) {
		if d, _ := b.Place(now, objectRequest(now, class, 7)); d.Target != first.Target {
			t.Fatalf("%d in hand and the next went to %v", first.Target.inHand(), d.Target)
		}
	}
	d, w := b.Place(now, objectRequest(now, class, 7))
	if w == nil {
		t.Fatalf("the request does not wait: %+v", d)
	}
	b.Done(now, first, class, Answered, 100*time.Millisecond)
	if d := <-w.Decided(); d.Target != first.Target {
		t.Errorf("it was sent to %v", d.Target)
	}
}

// The target of an object stays full. VMs that each took the freest of the others taught
// the object to all of them; they take the same next one, and none runs the object cold
// that another VM has taught already.
func TestObjectsOverflowToTheSameTargetFromAllVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	for object := range uint64(20) {
		second := make(map[string]bool)
		for vm := range 3 {
			b, class := fourTargets(now, fmt.Sprint("vm", vm)), NewClass(time.Second)
			first, _ := b.Place(now, objectRequest(now, class, object))
			b.SetPeer(now, "other", &Peer{InHand: map[uint32]int{KeyOf(first.Target.hash): 20}, At: now})
			next, _ := b.Place(now, objectRequest(now, class, object))
			if next.Target == nil || next.Target == first.Target {
				t.Fatalf("object %d: decision %+v", object, next)
			}
			second[next.Target.ID] = true
		}
		if len(second) != 1 {
			t.Errorf("object %d overflows to %v", object, second)
		}
	}
}
