package spread

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// During a store outage the reported store age must grow, although watchers
// forward their reads to each other in a cycle.
func TestStoreAgeGrowsDuringOutage(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		for vm, n := range f.nodes {
			if age := n.Status().StoreAge; age < 0 || age > 4*DefaultHeartbeat {
				f.t.Errorf("%s: store was read %s ago", vm, age)
			}
		}
		f.store.setUnavailable(true)
		const outage = 10 * time.Minute
		f.advance(outage)
		for vm, n := range f.nodes {
			age := n.Status().StoreAge
			if age < outage-50*linkDelay || age > outage+time.Minute {
				f.t.Errorf("%s: store was read %s ago", vm, age)
			}
		}
		f.store.setUnavailable(false)
		f.advance(settleTime)
		for vm, n := range f.nodes {
			if age := n.Status().StoreAge; age > 4*DefaultHeartbeat {
				f.t.Errorf("%s: store was read %s ago, after the outage", vm, age)
			}
		}
	})
}

// A paused node that resumes without store and peers must become ready again
// with the items it has.
func TestPausedIsolatedNodeBecomesReady(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		alone := f.byRole(topology.Leaf)
		f.store.setUnavailable(true)
		f.net.setBlocked(func(from, to string) bool {
			return from == alone.member.Address || to == alone.member.Address
		})
		alone.readiness.reset()
		f.advance(time.Second)
		if alone.Ready() {
			f.t.Error("ready before it contacted its peers")
		}
		f.advance(10 * time.Minute)
		if !alone.Ready() {
			f.t.Error("not ready after ten minutes")
		}
	})
}
