package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// Measures Place and Done for a request that may run in one region only, half of whose keys are admitted.
// It must allocate no more than without the part.
func BenchmarkPlaceInWorkingSet(bench *testing.B) {
	for _, policy := range []Policy{{}, workingSetPolicy} {
		bench.Run(fmt.Sprint("on=", policy.WorkingSet), func(bench *testing.B) {
			now := time.Unix(1000, 0)
			b := New(Options{
				VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
				RTT: func(string) time.Duration { return time.Millisecond }, Policy: policy,
			})
			var list []TargetSpec
			for i := range 20 {
				list = append(list, listing(fmt.Sprint("t", i)))
			}
			b.SetTargets(now, services(0), list, nil)
			if policy.WorkingSet {
				half := workingset.AllAdmitted()
				half[0] = 0.5
				b.ring(now, "a").Decide(now, "vm", map[workingset.ScopeID]workingset.Fractions{workingset.ScopeOf(serviceName, "a"): half})
			}
			class := NewClass(time.Second)
			allowed := func(region string) bool { return region == "a" }
			for i := 0; bench.Loop(); i++ {
				r := keyRequest(now, class, uint64(i%1000)*0x9e3779b97f4a7c15)
				r.Allowed = allowed
				if d, _ := b.Place(now, r); d.Target != nil {
					b.Done(now, d, class, Answered, 100*time.Millisecond)
				}
			}
		})
	}
}
