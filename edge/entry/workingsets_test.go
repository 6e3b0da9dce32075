package entry_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

var workingSetFraction = regexp.MustCompile(`yuccaroute_working_set_fraction\{[^}]*region="n"[^}]*\} ([0-9.e-]+)`)

// fractionAt returns the gauge of the working set of region "n", 1 if the VM has none.
func fractionAt(v *vm) float64 {
	_, page := get(v.options.MetricsAddress, "/metrics")
	found := workingSetFraction.FindStringSubmatch(page)
	if found == nil {
		return 1
	}
	value, _ := strconv.ParseFloat(found[1], 64)
	return value
}

// Load that comes in at one region and may run in another one only must reach the VM that decides there, and
// its arcs all VMs: those of a large region by digests, those of other regions by the reports of aggregators.
func TestWorkingSetReachesAllVMs(t *testing.T) {
	const vmsOfRegion, callers = 10, 24
	f := newFleet(t)
	f.policy = placing.Policy{WorkingSet: true, RotationPeriod: time.Minute}
	f.work = 250 * time.Millisecond
	f.put("config", site.Config{
		Version: 1, Services: map[string]site.Service{"s": {Name: "s", HealthPath: "/health"}},
		Routes: []site.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Sticky: true,
			Regions: []string{"n"}, Services: []site.WeightedService{{Service: "s", Weight: 1}},
		}},
		Limits: site.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute},
	})
	var vms []*vm
	for i := range vmsOfRegion {
		vms = append(vms, f.start(fmt.Sprintf("vm-%02d", i), []string{"n1", "n2"}[i%2], f.kv))
	}
	far := f.start("far", "s1", f.kv)
	waitFor(t, "never served", func() bool { status, _ := get(far.options.EntryAddress, "/p/x"); return status == 200 })
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					getWithKey(far.options.EntryAddress, "/p/x", fmt.Sprint(rand.IntN(1000)))
				}
			}
		})
	}
	for _, v := range append(vms, far) {
		waitFor(t, v.options.VM.Name+" learnt of no working set", func() bool { return fractionAt(v) < 1 })
	}
	close(stop)
	group.Wait()
	for _, v := range append(vms, far) {
		waitFor(t, v.options.VM.Name+" still refuses keys", func() bool { return fractionAt(v) == 1 })
	}
}
