package placing

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// A request that all targets it may use have refused must be refused at once, also while it is queued: in the
// queue it waits until it is too late although the targets have free slots, as none may get it again. It must
// be told the wait of a request that has not been tried.
func TestRequestThatAllTargetsRefusedIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "b1": "b"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	far := TargetSpec{Target: site.Target{ID: "far", Service: serviceName, Zone: "b1", Slots: 2}}
	b.SetTargets(now, services(0), []TargetSpec{listing("near"), listing("near-2"), far}, nil)
	class := NewClass(20 * time.Millisecond)
	r := request(now, class)
	r.Allowed = func(region string) bool { return region == "a" }
	for range 2 {
		d, _ := b.Place(now, r)
		if d.Target == nil || d.Target.ID == "far" {
			t.Fatalf("%d targets tried, placed as %+v", len(r.Tried), d)
		}
		b.Done(now, d, class, Shed, 0)
		r.Tried, r.AlreadyCounted = append(r.Tried, d.Target), true
	}
	d, w := b.Place(now, r)
	if w != nil || d.Target != nil || d.Reason != TooLate || d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
		t.Errorf("placed as %+v, queued %t, want refused at once", d, w != nil)
	}
}

// A hedge that finds no other target must not count as a refused caller, which would let more requests change
// their region.
func TestHedgeWithoutAnotherTargetIsNoRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newBalancer(now), NewClass(20*time.Millisecond)
	r := request(now, class)
	d, _ := b.Place(now, r)
	r.Tried, r.AlreadyCounted = []*Target{d.Target}, true
	for _, t := range b.services[serviceName].targets {
		if t != d.Target {
			r.Tried = append(r.Tried, t)
		}
	}
	if hedge, w := b.Place(now, r); w != nil || hedge.Target != nil {
		t.Fatalf("%+v, queued %v", hedge, w != nil)
	}
	if s := b.services[serviceName]; !s.rejectedAt.IsZero() {
		t.Error("the hedge counts as a refusal")
	}
}

// The same for a request in the queue whose last untried target is removed.
func TestQueuedRequestWithoutUntriedTargetIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, RTT: func(string) time.Duration { return time.Millisecond },
	})
	b.SetTargets(now, services(0), []TargetSpec{listing("tried"), listing("full")}, nil)
	class := NewClass(20 * time.Millisecond)
	first, _ := b.Place(now, request(now, class))
	if first.Target == nil {
		t.Fatal("no target for the first request")
	}
	b.Done(now, first, class, Shed, 0)
	var queued *Waiter
	for queued == nil {
		r := request(now, class)
		r.Tried, r.AlreadyCounted = []*Target{first.Target}, true
		_, queued = b.Place(now, r)
	}
	b.SetTargets(now, services(0), []TargetSpec{listing(first.Target.ID)}, nil)
	b.Tick(now)
	select {
	case d := <-queued.Decided():
		if d.Target != nil || d.Reason != TooLate {
			t.Errorf("decided %+v", d)
		}
	default:
		t.Error("still queued")
	}
}

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
