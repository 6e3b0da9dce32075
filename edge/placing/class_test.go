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
