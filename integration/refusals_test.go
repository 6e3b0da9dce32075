package integration

import (
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/standin/caller"
)

// The load around a killed entry VM, in seconds. Refusals are counted in parts of
// refusalPart seconds until long after its floors may be given to others.
const (
	refusalKill  = 10
	refusalPart  = 5
	refusalParts = 9
)

// TestRefusalsAfterAnEntryVMIsKilled counts who is refused. Farmers whose entry
// VM is killed go to the others, which may hold too little for them; what it held
// comes back when its surplus has ended, and when its floors may be given to
// others. It runs with longFaults set.
func TestRefusalsAfterAnEntryVMIsKilled(t *testing.T) {
	if os.Getenv(longFaults) == "" {
		t.Skipf("set %s", longFaults)
	}
	cases := []struct {
		name  string
		start func(t *testing.T) *farm
		rate  int
	}{
		{"callers of two regions", func(t *testing.T) *farm { return newRegions(t, false, false) }, 400},
		{"callers of two regions, near the limits", func(t *testing.T) *farm { return newRegions(t, false, false) }, 900},
		{"callers of one region", func(t *testing.T) *farm { return newCluster(t, asWritten) }, 400},
	}
	for _, c := range cases {
		for i := range 2 {
			t.Run(fmt.Sprintf("%s, entry-%d", c.name, i), func(t *testing.T) {
				t.Parallel()
				f := c.start(t)
				var killed time.Time
				l := load{seed: uint64(300 + i), requests: c.rate * (refusalKill + refusalParts*refusalPart), rate: caller.Steady(float64(c.rate)), deadline: time.Second}
				o := f.run(l, step{c.rate * refusalKill, func(f *farm) {
					decides, _ := f.decider()
					t.Logf("entry-%d decides", decides)
					killed = time.Now()
					f.entries[i].kill()
					f.unlistVMs(f.entries[i].name)
				}})
				o.want(t, map[result.Outcome]int{result.Ran: l.requests / 4})
				t.Logf("not run and unknown of each %d after: %v", c.rate*refusalPart, unservedParts(o.told, killed, c.rate*refusalPart))
			})
		}
	}
}

// unserved counts requests that did not run, and that may have.
type unserved struct{ NotRun, Unknown int }

// unservedParts counts in parts of so many requests, in the order sent.
func unservedParts(told []check.Told, from time.Time, part int) []unserved {
	sort.Slice(told, func(i, j int) bool { return told[i].Sent.Before(told[j].Sent) })
	var parts []unserved
	seen := 0
	for i := range told {
		if told[i].Sent.Before(from) {
			continue
		}
		if seen%part == 0 {
			parts = append(parts, unserved{})
		}
		seen++
		last := &parts[len(parts)-1]
		switch told[i].Outcome {
		case result.NotRun:
			last.NotRun++
		case result.Unknown:
			last.Unknown++
		}
	}
	return parts
}
