package placing

import (
	"fmt"
	"testing"
	"time"
)

// Measures Place for requests of 20 accounts, with 20 full targets in the region and 100 queued requests.
func BenchmarkPlaceFairShares(bench *testing.B) {
	benchmarkFairShares(bench, func(b *Balancer, now time.Time, place func(int) (Decision, *Waiter)) func(int) {
		return func(i int) {
			if _, w := place(i); w != nil {
				b.Cancel(w)
			}
		}
	})
}

// Measures a report of another VM, after which the queue is ordered and served, with the same load.
func BenchmarkServeFairShares(bench *testing.B) {
	benchmarkFairShares(bench, func(b *Balancer, now time.Time, _ func(int) (Decision, *Waiter)) func(int) {
		p := &PeerReport{At: now}
		return func(int) { b.SetPeerReport(now, "other", p) }
	})
}

func benchmarkFairShares(bench *testing.B, prepare func(b *Balancer, now time.Time, place func(int) (Decision, *Waiter)) func(int)) {
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
			step := prepare(b, now, place)
			for i := 0; bench.Loop(); i++ {
				step(i)
			}
		})
	}
}
