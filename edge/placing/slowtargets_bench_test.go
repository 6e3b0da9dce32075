package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

// Guards against a cost of each message between VMs that grows with the number of targets.
func BenchmarkSetSlowTargets(bench *testing.B) {
	now := time.Unix(1000, 0)
	b, _ := largeBalancer(now)
	b.options.Policy.StatedLoad = true
	var list []targetload.Slow
	for i := range targetload.MaxSlow {
		list = append(list, targetload.Slow{Key: TargetKey(HashOf(fmt.Sprintf("t%d", i*90))), Pace: 2.5})
	}
	for bench.Loop() {
		b.SetSlowTargets(now, list)
	}
}
