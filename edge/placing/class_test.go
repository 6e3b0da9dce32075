package placing

import (
	"testing"
	"time"
)

// A new route whose timeout is far below its objective must not have its first requests refused instead of queued:
// an estimate above the timeout stays there for as long as no request runs.
func TestFirstRequestsOfRouteWithShortTimeoutAreQueued(t *testing.T) {
	const objective, timeout = time.Second, 300 * time.Millisecond
	now := time.Unix(1000, 0)
	b := New(Options{VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, RTT: func(string) time.Duration { return 0 }})
	b.SetTargets(now, services(0), []TargetSpec{listing("only")}, nil)
	class := NewClassWithin(objective, timeout)
	for i := range 100 {
		r := request(now, class)
		r.Key, r.HasKey = 7, true
		r.Objective, r.Deadline = now.Add(objective), now.Add(timeout)
		d, w := b.Place(now, r)
		if w != nil {
			return
		}
		if d.Target == nil {
			t.Fatalf("request %d was refused with %q, expected after %v", i, d.Reason, d.Expected)
		}
	}
	t.Fatal("no request was queued")
}

// While all targets are busy, a route that was just added must not have all its requests refused as too late by an
// estimate that no request has shown: they never run, so that it never changes.
func TestFirstRequestsOfAddedRouteAreQueuedWhileTargetsAreBusy(t *testing.T) {
	const timeout = time.Second
	now := time.Unix(1000, 0)
	b := New(Options{VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, RTT: func(string) time.Duration { return 0 }})
	b.SetTargets(now, services(0), []TargetSpec{listing("only")}, nil)
	known := NewClassWithin(timeout, 0)
	busy := false
	for range 100 {
		r := request(now, known)
		r.Objective, r.Deadline = now.Add(timeout), now.Add(time.Minute)
		if d, w := b.Place(now, r); w != nil || d.Target == nil {
			busy = true
			break
		}
	}
	if !busy {
		t.Fatal("the target is not busy")
	}
	for _, objective := range []time.Duration{300 * time.Millisecond, timeout, 0} {
		r := request(now, NewClassWithin(objective, timeout))
		r.Objective, r.Deadline = now.Add(timeout), now.Add(timeout-20*time.Millisecond)
		if d, w := b.Place(now, r); w == nil {
			t.Errorf("objective %v: refused with %q, expected after %v", objective, d.Reason, d.Expected)
		}
	}
}
