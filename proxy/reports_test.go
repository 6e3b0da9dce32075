package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
)

func onlyReport(t *testing.T, p *Proxy) observe.PlaceLoad {
	t.Helper()
	reports := p.Reports(time.Second)
	if len(reports) != 1 || len(reports[0].Places) != 1 {
		t.Fatalf("reports %+v", reports)
	}
	return reports[0].Places[0]
}

// A report must cover only the time since the previous one.
func TestReportsCoverTimeSinceLastReport(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodGet, "/stock", ""), result.OK)
	p.Reports(time.Second)
	for range 7 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	}
	p.SetGrants(testGrants(2, 0))
	for range 3 {
		wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
	}
	reports := p.Reports(2 * time.Second)
	load := reports[0].Places[0]
	if load.SentRPS != 3.5 || load.RefusedRPS != 1.5 || load.FailureShare != 0 || load.Targets != 1 || load.P99 <= 0 {
		t.Fatalf("load %+v", load)
	}
	if offered := reports[0].Flows[0].OfferedRPS; offered != 5 {
		t.Fatalf("offered %f", offered)
	}
	if again := onlyReport(t, p); again.SentRPS != 0 || again.P99 != 0 {
		t.Fatalf("counted twice: %+v", again)
	}
}

// A place whose targets refuse connections must be reported as failing,
// although nothing is sent.
func TestRefusedConnectionsCountAsFailures(t *testing.T) {
	p := newTestProxy(t, nil, refusingAddress(t), refusingAddress(t))
	for range 4 {
		call(p, http.MethodPost, "/orders", "x")
	}
	if load := onlyReport(t, p); load.FailureShare != 1 || load.SentRPS < 4 {
		t.Fatalf("load %+v", load)
	}
}

// After a pause between admission and sending, a request must not be sent on a
// grant that has been withdrawn meanwhile.
func TestStaleAdmissionIsCheckedAgain(t *testing.T) {
	p, target := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	admitted, short, _ := onlyPlace(p).acquire(0, 0)
	if short != noShortage {
		t.Fatal("no permission acquired")
	}
	p.SetGrants(testGrants(2, 0))
	admitted.admittedAt = admitted.admittedAt.Add(-admissionTTL)
	q := newLookUp(p)
	a := p.attempt(t.Context(), q, admitted, q.deadline)
	if a.code != result.NoCapacity || target.requests.Load() != 1 {
		t.Fatalf("code %s, %d requests sent", a.code, target.requests.Load())
	}
	if n := admitted.target.state.Outstanding(); n != 0 {
		t.Fatalf("%d slots taken", n)
	}
}

// While the move cap holds the shares back from a newer plan, reports must name
// the plan that the node has reached.
func TestReportNamesPlanInEffect(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	next := testPlan()
	next.Sequence = 2
	next.Flows[0].Shares = []plan.Share{{Place: "elsewhere", PPM: plan.Whole}}
	p.SetPlan(next)
	if r := p.Reports(time.Second)[0]; r.PlanEpoch != 1 || r.PlanSequence != 1 {
		t.Fatalf("report names plan %d.%d, want 1.1", r.PlanEpoch, r.PlanSequence)
	}
	same := testPlan()
	same.Sequence = 3
	p.SetPlan(same)
	if r := p.Reports(time.Second)[0]; r.PlanSequence != 3 {
		t.Fatalf("report names plan sequence %d, want 3", r.PlanSequence)
	}
}

// After a suspend, during which the clock of time.Now stands still, an expired
// surplus must not be used.
func TestSurplusIsNotUsedAfterSuspend(t *testing.T) {
	var suspended atomic.Int64
	p, target := newServingProxy(t, func(o *Options, _ *model.Account) {
		o.Clock = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	})
	set := testGrants(2, 0)
	set.Grants[0].Surplus = ampleRate
	set.SurplusExpires = time.Now().Add(time.Minute)
	p.SetGrants(set)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	suspended.Store(int64(time.Hour))
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.NoCapacity)
	target.wantRequests(t, 1)
}
