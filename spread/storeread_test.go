package spread

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// The store goes out for ten minutes. An operator reads an account and is told how
// old the last contact with the store is. The watchers follow each other in a
// circle; what each hears from the other must not make the reading younger.
func TestAgeOfTheStoreGrowsInAnOutage(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		for vm, n := range f.nodes {
			if age := n.Status().StoreAge; age < 0 || age > 4*DefaultHeartbeat {
				f.t.Errorf("%s: store was read %s ago", vm, age)
			}
		}
		f.store.setOut(true)
		const outage = 10 * time.Minute
		f.after(outage)
		for vm, n := range f.nodes {
			age := n.Status().StoreAge
			if age < outage-50*linkDelay || age > outage+time.Minute {
				f.t.Errorf("%s: store was read %s ago", vm, age)
			}
		}
		f.store.setOut(false)
		f.after(settle)
		for vm, n := range f.nodes {
			if age := n.Status().StoreAge; age > 4*DefaultHeartbeat {
				f.t.Errorf("%s: store was read %s ago, after it is back", vm, age)
			}
		}
	})
}

// A VM is paused, and when it resumes the store is out and no peer answers. It
// goes on with what it had instead of refusing its callers.
func TestPausedAndAloneGoesOn(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		alone := f.byRole(topology.Leaf)
		f.store.setOut(true)
		f.net.setBlocked(func(from, to string) bool {
			return from == alone.member.Address || to == alone.member.Address
		})
		alone.ready.reset()
		f.after(time.Second)
		if alone.Ready() {
			f.t.Error("ready before it asked its peers")
		}
		f.after(10 * time.Minute)
		if !alone.Ready() {
			f.t.Error("refuses its callers for good")
		}
	})
}
