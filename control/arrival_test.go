package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Callers come to all nodes of an idle fleet at the same moment, with a third of
// the capacity. Each node holds more than they need; if grants moved in the order
// of the first reports, some nodes would lose it and their callers would wait.
func TestNobodyWaitsWhenAllCallersCome(t *testing.T) {
	const trials = 20
	waited := 0.0
	for i := range trials {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8)
			defer f.stop()
			f.offer(0)
			f.run(20)
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			f.offer(80)
			for range int(10 * time.Second / raisePoll) {
				time.Sleep(raisePoll)
				for _, m := range f.nodes {
					waited += m.lacks() * raisePoll.Seconds()
				}
			}
			f.check()
		})
	}
	t.Logf("%.0f of %d requests came above the grants", waited, trials*8*80*10)
	if waited > 0 {
		t.Error("requests waited while most of the capacity was idle")
	}
}

// lacks is how much more is asked of the node than it may send, requests/s. The
// plan sends half to each place of its region.
func (m *member) lacks() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	lack := 0.0
	for _, p := range m.fleet.account.Places {
		if p.Region != model.RegionName(m.ref.Region) {
			continue
		}
		key := grant.Key{Account: "daehan", Service: "dealer-desk", Place: p.Name}
		lack += max(0, m.offered/2-m.set.Allowed(key, time.Now()).RPS())
	}
	return lack
}
