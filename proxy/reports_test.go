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

// What a node reports is what happened since its last report.
func TestReportsCountSinceTheLast(t *testing.T) {
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

// The VMs of a place are gone and refuse connections. Nothing is sent, and the
// decider, which weighs failures by the rate, must still see that all fails.
func TestPlaceThatTakesNoConnectionsFails(t *testing.T) {
	p := newTestProxy(t, nil, refusingAddress(t), refusingAddress(t))
	for range 4 {
		call(p, http.MethodPost, "/orders", "x")
	}
	if load := onlyReport(t, p); load.FailureShare != 1 || load.SentRPS < 4 {
		t.Fatalf("load %+v", load)
	}
}

// A process is paused between the admission of an order and its sending. Its
// grant has gone to another node meanwhile; the order must not be sent.
func TestAdmissionBeforeAPauseIsAskedAgain(t *testing.T) {
	p, target := newServingProxy(t, nil)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/orders", "x"), result.OK)
	admitted, short, _ := onlyPlace(p).acquire(0, 0)
	if short != shortNone {
		t.Fatal("no permission")
	}
	p.SetGrants(testGrants(2, 0))
	admitted.admitted = admitted.admitted.Add(-freshFor)
	q := lookUp(p)
	a := p.attempt(t.Context(), q, admitted, q.deadline)
	if a.code != result.NoCapacity || target.requests.Load() != 1 {
		t.Fatalf("code %s, %d requests sent", a.code, target.requests.Load())
	}
	if n := admitted.target.state.Outstanding(); n != 0 {
		t.Fatalf("%d slots taken", n)
	}
}

// The cap holds a node's shares back from a newer plan. The decider must hear
// that the node still sends by the older one: its callers move by the distance
// when they go to another node.
func TestReportNamesThePlanReached(t *testing.T) {
	p, _ := newServingProxy(t, nil)
	next := testPlan()
	next.Sequence = 2
	next.Flows[0].Shares = []plan.Share{{Place: "elsewhere", PPM: plan.Whole}}
	p.SetPlan(next)
	if r := p.Reports(time.Second)[0]; r.PlanEpoch != 1 || r.PlanSequence != 1 {
		t.Fatalf("reports plan %d.%d, the shares are held back at 1.1", r.PlanEpoch, r.PlanSequence)
	}
	same := testPlan()
	same.Sequence = 3
	p.SetPlan(same)
	if r := p.Reports(time.Second)[0]; r.PlanSequence != 3 {
		t.Fatalf("reports plan %d, the shares are those of 3", r.PlanSequence)
	}
}

// A VM is suspended with a surplus in force and resumed an hour later. The
// clock behind time.Now stood still, and the surplus has long been given to
// other nodes; no request may be sent on it, though no timer has run yet.
func TestSurplusIsNotUsedAfterASuspension(t *testing.T) {
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
