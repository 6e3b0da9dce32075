package proxy

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
)

const (
	testAccount = "daehan"
	testService = "dealer-desk"
	testPlace   = "kr-seoul-a"
	testRegion  = "kr-seoul"
	ampleRate   = 1_000_000 * grant.PerRequest
)

// testAccountModel returns an account with one service in one place. Paths
// under /stock are idempotent, under /docs bulk, all others non-idempotent.
func testAccountModel() *model.Account {
	return &model.Account{
		Name:     testAccount,
		Revision: 1,
		Regions:  []model.Region{{Name: testRegion}},
		Places:   []model.Place{{Name: testPlace, Region: testRegion}},
		Services: []model.Service{{
			Name: testService,
			Routes: []model.Route{
				{PathPrefix: "/stock", Class: model.Idempotent},
				{PathPrefix: "/docs", Class: model.Bulk},
			},
			SlotsPerTarget:       3,
			ConnectionsPerTarget: 330,
			Deadline:             5 * time.Second,
			RetryBudget:          1,
			MaxRequestBytes:      1 << 20,
			MaxAnswerBytes:       1 << 20,
		}},
	}
}

func testPlan() *plan.Plan {
	return &plan.Plan{
		Account: testAccount, Epoch: 1, Sequence: 1,
		Flows: []plan.Flow{{
			Service: testService, Caller: testRegion,
			Shares: []plan.Share{{Place: testPlace, PPM: plan.Whole}},
		}},
	}
}

func testGrants(sequence uint64, floor grant.Amount) *grant.Set {
	key := grant.Key{Account: testAccount, Service: testService, Place: testPlace}
	return &grant.Set{
		Account: testAccount, Epoch: 1, Sequence: sequence,
		Grants: []grant.Grant{{Key: key, Floor: floor}},
	}
}

func targetVM(id, address string) membership.VM {
	return membership.VM{
		ID: id, Role: membership.RoleTarget, State: membership.StateLive,
		Region: testRegion, Place: testPlace,
		Account: testAccount, Service: testService,
		Address: netip.MustParseAddrPort(address),
	}
}

// newTestProxy returns a proxy with account, plan, grants and targets applied.
func newTestProxy(t testing.TB, change func(*Options, *model.Account), addresses ...string) *Proxy {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	options := Options{
		Node: grant.NodeID{VM: "entry-1", Incarnation: 1}, Region: testRegion, Place: testPlace, Logger: logger,
	}
	account := testAccountModel()
	if change != nil {
		change(&options, account)
	}
	p, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.SetTargets(listOf(addresses...))
	p.SetAccount(account)
	p.SetPlan(testPlan())
	p.SetGrants(testGrants(1, ampleRate))
	return p
}

// newServingProxy returns a proxy with one target that answers every request.
func newServingProxy(t *testing.T, change func(*Options, *model.Account)) (*Proxy, *scriptedTarget) {
	t.Helper()
	target := newScriptedTarget(t, respondAlways(okAnswer))
	return newTestProxy(t, change, target.address()), target
}

func listOf(addresses ...string) membership.List {
	list := membership.List{Sequence: 1}
	for i, a := range addresses {
		list.VMs = append(list.VMs, targetVM("target-"+string(rune('a'+i)), a))
	}
	return list
}

// call sends one request through the proxy.
func call(p *Proxy, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(result.HeaderAccount, testAccount)
	r.Header.Set(result.HeaderService, testService)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// wantResult checks the numbered result and that its outcome matches.
func wantResult(t *testing.T, w *httptest.ResponseRecorder, want result.Code) {
	t.Helper()
	info := result.InfoOf(want)
	got := w.Header().Get(result.HeaderResult)
	if got != strconv.Itoa(int(want)) || w.Header().Get(result.HeaderOutcome) != info.Outcome.String() {
		t.Fatalf("result %s outcome %s, want %d (%s) %s; body %q", got,
			w.Header().Get(result.HeaderOutcome), want, info.Name, info.Outcome, w.Body.String())
	}
}

// callWithinGrant retries a call while the grant refuses it. Buckets are empty
// when a test begins, and bulk requests wait until they are half full.
func callWithinGrant(p *Proxy, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	for {
		w := call(p, method, path, body, headers...)
		if w.Header().Get(result.HeaderResult) != strconv.Itoa(int(result.NoCapacity)) {
			return w
		}
	}
}

// waitUntil returns when the condition holds; the test's timeout bounds the
// wait.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}
