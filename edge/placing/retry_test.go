package placing

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// A request that the only usable target of its region has refused must go to another
// region: in the queue of its own it waits until it is too late, while others pass it.
func TestRefusedRequestDoesNotWaitForTheTargetThatRefused(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		now := time.Unix(1000, 0)
		b := New(Options{
			VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "b1": "b"},
			RTT: func(region string) time.Duration { return map[string]time.Duration{"b": 10 * time.Millisecond}[region] },
		})
		far := TargetSpec{Target: site.Target{ID: "far", Service: serviceName, Zone: "b1", Slots: 2}}
		b.SetTargets(now, services(0), []TargetSpec{listing("near"), far}, nil)
		class := NewClass(20 * time.Millisecond)
		r := request(now, class)
		r.Key, r.HasKey = 7, keyed
		d, _ := b.Place(now, r)
		if d.Target == nil || d.Target.ID != "near" {
			t.Fatalf("first attempt placed as %+v", d)
		}
		b.Done(now, d, class, Shed, 0)
		r.Tried, r.AlreadyCounted = append(r.Tried, d.Target), true
		d, w := b.Place(now, r)
		if w != nil || d.Target == nil || d.Target.ID != "far" {
			t.Errorf("keyed %t: second attempt placed as %+v, queued %t; the other region has a free target", keyed, d, w != nil)
		}
	}
}
