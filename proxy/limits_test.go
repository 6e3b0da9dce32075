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

// A decider takes a node's grant away and gives it to another node as soon as
// SetGrants has returned here. Not one request may be sent on the old grant
// after that, or the sum passes the capacity.
func TestNothingIsSentOnAnOldGrant(t *testing.T) {
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

// A surplus has expired, as it has for a process that resumes after a pause.
// Only the floor counts, without another set having come.
func TestExpiredSurplusIsNotUsed(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	set := testGrants(2, 0)
	set.Grants[0].Surplus = ampleRate
	set.SurplusExpires = time.Now().Add(-time.Millisecond)
	p.SetGrants(set)
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
}

// The account wants traffic above a grant to wait. It does while its deadline
// can be met, and is refused at once when it cannot.
func TestExcessWaitsWithinTheDeadline(t *testing.T) {
	waits := func(_ *Options, m *model.Account) { m.Excess = model.ExcessWait }
	p, target := newServingProxy(t, waits)
	p.SetGrants(testGrants(2, 100*grant.PerRequest))
	for range 10 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	p.SetGrants(testGrants(3, 0))
	began := target.requests.Load()
	w := call(p, http.MethodGet, "/stock", "", result.HeaderDeadline, "40")
	wantResult(t, w, result.NoCapacity)
	if target.requests.Load() != began {
		t.Fatal("sent without a grant")
	}
}

// The account wants excess refused. Requests that come close together while the
// node is below its grant are not excess: they wait for milliseconds. Many at
// once are, and the grant holds for those that are sent.
func TestCloseArrivalsAreNotExcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		target := &pipeTarget{serve: func() time.Duration { sent++; return 0 }}
		p := newTestProxy(t, func(o *Options, _ *model.Account) { o.Dial = target.dial }, "10.0.0.1:80")
		defer settle(p)
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

// The grant is ample and all slots are taken. A request that cannot wait for
// one is refused as not run, and told that the targets are the reason.
func TestTakenSlotsAreTold(t *testing.T) {
	target, release := newHeld(t)
	p := newTestProxy(t, nil, target.address())
	var done sync.WaitGroup
	for range 3 {
		done.Go(func() { callWithinGrant(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "60000") })
	}
	until(func() bool { return target.requests.Load() == 3 })
	wantResult(t, call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "40"), result.QueueFull)
	release()
	done.Wait()
}

// The place is farther away than the deadline allows. The order is refused as
// not run instead of being sent and ending as unknown.
func TestPlaceBeyondTheDeadline(t *testing.T) {
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

// All targets of a service leave or are missing, and the plan names only this
// place. The request is refused; another place would be a move without a cap.
func TestNoSpillToAPlaceThePlanDoesNotName(t *testing.T) {
	other := newScripted(t, answering(okAnswer))
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

// A place has lost its targets and the plan has left it, but the move cap lets
// traffic follow only in steps. The caller is told that the cap is the reason.
func TestHeldTrafficIsToldSo(t *testing.T) {
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
	told := map[string]int{}
	for range 100 {
		told[call(p, http.MethodGet, "/stock", "").Header().Get(result.HeaderResult)]++
	}
	if told["111"] < 89 {
		t.Fatalf("results %v", told)
	}
}

// A plan is replaced while requests run: every request follows one plan or the
// other, and an older plan that arrives late does not return.
func TestOlderPlanDoesNotReturn(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	empty := testPlan()
	empty.Sequence = 3
	empty.Flows = []plan.Flow{}
	p.SetPlan(empty)
	p.SetPlan(testPlan())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoPlan)
}

// Uploads hold all but one slot for a long time. An order must not wait for
// them.
func TestBulkLeavesASlotToOrders(t *testing.T) {
	release := make(chan struct{})
	target := newScripted(t, func(c *scriptedConn) {
		for r := c.next(); r != nil; r = c.next() {
			if r.URL.Path == "/docs" {
				<-release
			}
			c.say(okAnswer)
		}
	})
	p := newTestProxy(t, nil, target.address())
	var uploads sync.WaitGroup
	for range 6 {
		uploads.Go(func() {
			callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderDeadline, "60000")
		})
	}
	until(func() bool { return target.requests.Load() > 0 && onlyPlace(p).line.Waiting() > 0 })
	for range 10 {
		wantResult(t, call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "1000"), result.OK)
	}
	close(release)
	uploads.Wait()
}

// Callers ask for four times the node's grant and wait in its queue. The decider
// would hear of it only with the next regular report; the node must tell that it
// is short, and not once for each request that waits.
func TestWaitForTheGrantIsTold(t *testing.T) {
	var told atomic.Int32
	p, _ := newServingProxy(t, func(o *Options, m *model.Account) {
		m.Excess = model.ExcessWait
		o.OnGrantShortage = func(model.AccountName) { told.Add(1) }
	})
	p.SetGrants(testGrants(2, 10*grant.PerRequest))
	began := time.Now()
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() { call(p, http.MethodGet, "/stock", "") })
	}
	waiting.Wait()
	most := int32(time.Since(began)/shortEvery) + 1
	if n := told.Load(); n == 0 || n > most {
		t.Errorf("told %d times, at most %d expected", n, most)
	}
}
