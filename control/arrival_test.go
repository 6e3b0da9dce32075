package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// When callers reach all nodes of an idle fleet at once, each node's grant is already
// sufficient. No grant may move by the order of the first reports.
func TestNoShortfallWhenAllCallersArrive(t *testing.T) {
	const trials = 20
	waited := 0.0
	for i := range trials {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8)
			defer f.stop()
			f.setDemand(0)
			f.run(20)
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			f.setDemand(80)
			surge := time.Now()
			for range int(10 * time.Second / pollInterval) {
				time.Sleep(pollInterval)
				for _, m := range f.nodes {
					shortfall := m.shortfall()
					if shortfall > 0 {
						t.Logf("trial %d, %v after the surge: %s is short of %.1f requests/s, %s", i, time.Since(surge), m.ref.Vm, shortfall, m.describeGrants())
					}
					waited += shortfall * pollInterval.Seconds()
				}
			}
			f.check()
		})
	}
	t.Logf("%.0f of %d requests exceeded the grants", waited, trials*8*80*10)
	if waited > 0 {
		t.Error("requests exceeded the grants while most of the capacity was idle")
	}
}

// describeGrants describes the grant set in force.
func (m *fleetNode) describeGrants() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	description := fmt.Sprintf("set %d.%d, surplus for another %v:", m.set.Epoch, m.set.Sequence, time.Until(m.set.SurplusExpires))
	for _, g := range m.set.Grants {
		description += fmt.Sprintf(" %s %.1f+%.1f", g.Key.Place, g.Floor.RPS(), g.Surplus.RPS())
	}
	return description
}

// shortfall returns by how much the demand exceeds the grants, in requests/s. The plan
// sends half of it to each place of the region.
func (m *fleetNode) shortfall() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	shortfall := 0.0
	for _, p := range m.fleet.account.Places {
		if p.Region != model.RegionName(m.ref.Region) {
			continue
		}
		key := grant.Key{Account: "daehan", Service: "dealer-desk", Place: p.Name}
		shortfall += max(0, m.offered/2-m.set.Allowed(key, time.Now()).RPS())
	}
	return shortfall
}
