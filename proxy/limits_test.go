package proxy

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/admission"
)

// No request may be sent on the old grant after SetGrants has returned: another
// node may already use it.
func TestReplacedGrantAdmitsNothing(t *testing.T) {
	p, target := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	p.SetGrants(testGrants(2, 0))
	before := target.requests.Load()
	for range 50 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
	}
	if n := target.requests.Load() - before; n != 0 {
		t.Fatalf("%d requests sent without a grant", n)
	}
	p.SetGrants(testGrants(1, ampleRate))
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
}

// Once the surplus has expired only the floor counts, even if no newer set
// arrives.
func TestExpiredSurplusIsNotUsed(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	set := testGrants(2, 0)
	set.Grants[0].Surplus = ampleRate
	set.SurplusExpires = time.Now().Add(-time.Millisecond)
	p.SetGrants(set)
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
}

// Excess is queued if the account wants it, and refused at once if the deadline
// cannot be met.
func TestExcessQueuesWithinDeadline(t *testing.T) {
	queueExcess := func(_ *Options, m *model.Account) { m.Excess = model.ExcessWait }
	p, target := newServingProxy(t, queueExcess)
	p.SetGrants(testGrants(2, 100*grant.PerRequest))
	for range 10 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	p.SetGrants(testGrants(3, 0))
	began := target.requests.Load()
	w := call(p, http.MethodGet, "/stock", "", result.HeaderDeadline, "40")
	wantResult(t, w, result.NoCapacity)
	if target.requests.Load() != began {
		t.Fatal("request sent without a grant")
	}
}

// With excess refused, short bursts below the grant must wait briefly instead
// of being refused, and the requests that are sent stay within the grant.
func TestShortBurstIsNotExcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		target := &pipeTarget{serve: func() time.Duration { sent++; return 0 }}
		p := newTestProxy(t, func(o *Options, _ *model.Account) { o.Dial = target.dial }, "10.0.0.1:80")
		defer closeAndSettle(p)
		p.SetGrants(testGrants(2, 100*grant.PerRequest))
		for range 10 {
			wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
		}
		began, before := time.Now(), sent
		var done sync.WaitGroup
		for range 100 {
			done.Go(func() { call(p, http.MethodGet, "/stock", "") })
		}
		done.Wait()
		sent -= before
		permitted := 100*time.Since(began).Seconds() + admission.Burst(100)
		if sent == 0 || float64(sent) > permitted {
			t.Fatalf("%d sent, at most %.1f permitted", sent, permitted)
		}
	})
}

// A request that cannot wait for a slot is refused as not run, with the targets
// rather than the grant as the reason.
func TestSlotShortageIsReported(t *testing.T) {
	target, release := newBlockedTarget(t)
	p := newTestProxy(t, nil, target.address())
	var done sync.WaitGroup
	for range 3 {
		done.Go(func() { callWithinGrant(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "60000") })
	}
	waitUntil(func() bool { return target.requests.Load() == 3 })
	wantResult(t, call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "40"), result.QueueFull)
	release()
	done.Wait()
}

// A place whose round trip exceeds the deadline must refuse an order as not run
// instead of sending it with an unknown outcome.
func TestRoundTripBeyondDeadlineIsRefused(t *testing.T) {
	far := func(o *Options, m *model.Account) {
		o.Region = "kr-busan"
		o.CallerRegion = func(model.AccountName, netip.Addr) (model.RegionName, bool) { return testRegion, true }
		delay := model.Delay{To: testRegion, OneWay: 55 * time.Millisecond}
		m.Regions = append(m.Regions, model.Region{Name: "kr-busan", Delays: []model.Delay{delay}})
	}
	p, target := newServingProxy(t, far)
	w := call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "110")
	wantResult(t, w, result.DeadlineBeforeSend)
	target.wantRequests(t, 0)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "60000"), result.OK)
}

// Without targets in the planned place a request is refused: using another
// place would bypass the move cap.
func TestNoSpillToUnplannedPlace(t *testing.T) {
	other := newScriptedTarget(t, respondAlways(okAnswer))
	withPlace := func(_ *Options, m *model.Account) {
		m.Places = append(m.Places, model.Place{Name: "kr-busan-a", Region: testRegion})
	}
	p := newTestProxy(t, withPlace)
	list := listOf(other.address())
	list.VMs[0].Place = "kr-busan-a"
	p.SetTargets(list)
	set := testGrants(2, ampleRate)
	set.Grants = append(set.Grants, grant.Grant{
		Key: grant.Key{Account: testAccount, Service: testService, Place: "kr-busan-a"}, Floor: ampleRate})
	p.SetGrants(set)
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoTarget)
	other.wantRequests(t, 0)
}

// A request held by the move cap in a place without targets must be refused
// with the cap as the reason.
func TestMoveCapIsReportedAsReason(t *testing.T) {
	capped := func(_ *Options, m *model.Account) {
		m.Places = append(m.Places, model.Place{Name: "kr-busan-a", Region: testRegion})
		m.Moves = model.MoveLimits{Share: 0.1, Window: time.Hour}
	}
	p, _ := newServingProxy(t, capped)
	next := testPlan()
	next.Sequence = 2
	next.Flows[0].Shares = []plan.Share{{Place: "kr-busan-a", PPM: plan.Whole}}
	p.SetPlan(next)
	p.SetTargets(listOf())
	results := map[string]int{}
	for range 100 {
		results[call(p, http.MethodGet, "/stock", "").Header().Get(result.HeaderResult)]++
	}
	if results["111"] < 89 {
		t.Fatalf("results %v", results)
	}
}

// A plan that arrives after a newer one must be ignored.
func TestOlderPlanIsIgnored(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	empty := testPlan()
	empty.Sequence = 3
	empty.Flows = []plan.Flow{}
	p.SetPlan(empty)
	p.SetPlan(testPlan())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoPlan)
}

// Bulk requests must not take the last slot: an order must not wait for
// uploads.
func TestBulkLeavesSlotForOrders(t *testing.T) {
	release := make(chan struct{})
	target := newScriptedTarget(t, func(c *scriptedConn) {
		for r := c.next(); r != nil; r = c.next() {
			if r.URL.Path == "/docs" {
				<-release
			}
			c.respond(okAnswer)
		}
	})
	p := newTestProxy(t, nil, target.address())
	var uploads sync.WaitGroup
	for range 6 {
		uploads.Go(func() {
			callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderDeadline, "60000")
		})
	}
	waitUntil(func() bool { return target.requests.Load() > 0 && onlyPlace(p).queue.Waiting() > 0 })
	for range 10 {
		wantResult(t, call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "1000"), result.OK)
	}
	close(release)
	uploads.Wait()
}

// Requests that wait for the grant must raise a shortage report, limited in
// rate.
func TestGrantShortageIsReported(t *testing.T) {
	var reports atomic.Int32
	p, _ := newServingProxy(t, func(o *Options, m *model.Account) {
		m.Excess = model.ExcessWait
		o.OnGrantShortage = func(model.AccountName) { reports.Add(1) }
	})
	p.SetGrants(testGrants(2, 10*grant.PerRequest))
	began := time.Now()
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() { call(p, http.MethodGet, "/stock", "") })
	}
	waiting.Wait()
	maxReports := int32(time.Since(began)/shortageReportInterval) + 1
	if n := reports.Load(); n == 0 || n > maxReports {
		t.Errorf("%d reports, want 1 to %d", n, maxReports)
	}
}
