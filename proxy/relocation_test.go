package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
)

const otherPlace = "kr-busan-a"

// newTwoPlaceProxy returns a proxy whose plan moves half of the traffic from a
// place that refuses connections to one that serves, as far as the cap permits.
func newTwoPlaceProxy(t *testing.T, share float64) *Proxy {
	good := newScriptedTarget(t, respondAlways(okAnswer))
	p := newTestProxy(t, func(_ *Options, m *model.Account) {
		m.Moves = model.MoveLimits{Share: share, Window: time.Hour}
		m.Places = append(m.Places, model.Place{Name: otherPlace, Region: testRegion})
	})
	bad, other := targetVM("bad", refusingAddress(t)), targetVM("other", good.address())
	other.Place = otherPlace
	p.SetTargets(membership.List{Sequence: 2, VMs: []membership.VM{bad, other}})
	grants := testGrants(2, ampleRate)
	grants.Grants = append(grants.Grants, grant.Grant{
		Key:   grant.Key{Account: testAccount, Service: testService, Place: otherPlace},
		Floor: ampleRate,
	})
	p.SetGrants(grants)
	next := testPlan()
	next.Sequence = 2
	next.Flows[0].Shares = []plan.Share{{Place: otherPlace, PPM: plan.Whole / 2}, {Place: testPlace, PPM: plan.Whole / 2}}
	p.SetPlan(next)
	return p
}

// Retries of requests that a failing place refused must not move more traffic
// to other places than the plan has left of the move cap.
func TestRelocatedRetriesStayWithinMoveCap(t *testing.T) {
	const first = 200
	for _, c := range []struct{ share, left float64 }{{0.1, 0}, {0.6, 0.1}} {
		p := newTwoPlaceProxy(t, c.share)
		refused, relocated := 0, 0
		for range first {
			w := callWithinGrant(p, http.MethodGet, "/stock", "")
			at := w.Header().Get(result.HeaderRefusedPlace)
			if at == "" {
				wantResult(t, w, result.OK)
				continue
			}
			refused++
			w = callWithinGrant(p, http.MethodGet, "/stock", "", result.HeaderRefusedPlace, at)
			if w.Header().Get(result.HeaderPlace) == otherPlace {
				relocated++
				continue
			}
			wantResult(t, w, result.ConnectFailed)
		}
		if most := int(c.left*first) + maxSavedRelocations; relocated > most || relocated < int(c.left*first)/2 {
			t.Errorf("cap %v: %d of %d refused requests ran in another place, want at most %d", c.share, relocated, refused, most)
		}
	}
}
