package placing

import (
	"fmt"
	"testing"
	"time"
)

// One request about a key is placed, and its answer taken in, among 200 targets of a
// region, with 100 requests in the queue for full ones. It took 1,289 us while each request in
// line counted the load of the region anew, and takes 186 us.
func BenchmarkPlace(bench *testing.B) {
	now := time.Unix(1000, 0)
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	var list []TargetSpec
	for i := range 200 {
		l := listing(fmt.Sprint("t", i))
		l.Slots = 6
		list = append(list, l)
	}
	b.SetTargets(now, services(0), list, nil)
	class := NewClass(time.Second)
	for range 100 {
		r := keyRequest(now, class, 1)
		r.Objective, r.Deadline = now.Add(time.Hour), now.Add(time.Hour)
		for w := (*Waiter)(nil); w == nil; {
			_, w = b.Place(now, r)
		}
	}
	for i := 0; bench.Loop(); i++ {
		d, w := b.Place(now, keyRequest(now, class, uint64(i%1000)+2))
		if w != nil {
			b.Cancel(w)
			continue
		}
		b.Done(now, d, class, Answered, 100*time.Millisecond)
	}
}
