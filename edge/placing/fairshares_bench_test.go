package placing

import (
	"fmt"
	"testing"
	"time"
)

// Measures Place and Done for requests of 20 accounts, with 20 targets in the region and 100 queued requests.
func BenchmarkPlaceFairShares(bench *testing.B) {
	for _, on := range []bool{false, true} {
		bench.Run(fmt.Sprintf("on=%v", on), func(bench *testing.B) {
			now := time.Unix(1000, 0)
			b := New(Options{
				VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
				RTT: func(string) time.Duration { return time.Millisecond }, Policy: Policy{FairShares: on},
			})
			var list []TargetSpec
			for i := range 20 {
				list = append(list, listing(fmt.Sprint("t", i)))
			}
			b.SetTargets(now, services(0), list, nil)
			class := NewClass(time.Second)
			place := func(i int) (Decision, *Waiter) {
				r := request(now, class)
				r.Account, r.Objective, r.Deadline = fmt.Sprint("account-", i%20), now.Add(time.Hour), now.Add(time.Hour)
				return b.Place(now, r)
			}
			for i := 0; b.Waiting() < 100; i++ {
				place(i)
			}
			for i := 0; bench.Loop(); i++ {
				d, w := place(i)
				if w != nil {
					b.Cancel(w)
					continue
				}
				b.Done(now, d, class, Answered, 100*time.Millisecond)
			}
		})
	}
}
