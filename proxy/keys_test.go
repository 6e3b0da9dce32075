package proxy

import (
	"net/http"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

func newStore() *faultkv.Store { return faultkv.New(memkv.New(memkv.Options{}), nil) }

func withKeys(kv *faultkv.Store, orders model.OutageOrders) func(*Options, *model.Account) {
	return func(o *Options, m *model.Account) {
		o.Keys = keys.New(keys.Options{Store: kv, Node: o.Node, WritesPerSecond: 1e6})
		m.OutageOrders = orders
	}
}

func orderWithKey(p *Proxy, key string) string {
	w := call(p, http.MethodPost, "/orders", "two pallets", result.HeaderKey, key)
	return w.Header().Get(result.HeaderResult) + " " + w.Header().Get(result.HeaderOutcome)
}

func wantOrder(t *testing.T, p *Proxy, want string) {
	t.Helper()
	if got := orderWithKey(p, "o-1"); got != want {
		t.Fatalf("result %s, want %s", got, want)
	}
}

// A request that is repeated with its key through another node must not run
// twice.
func TestDuplicateKeyThroughAnotherNodeIsRefused(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	kv := newStore()
	a := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	b := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	got := []string{orderWithKey(a, "o-1"), orderWithKey(b, "o-1"), orderWithKey(a, "o-1"), orderWithKey(b, "o-2")}
	want := []string{"0 ran", "130 unknown", "130 unknown", "0 ran"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("results %q, want %q", got, want)
		}
	}
	target.wantRequests(t, 2)
}

// Bulk requests are not idempotent: a repeated upload must be refused by its
// key.
func TestRepeatedUploadIsRefused(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	kv := newStore()
	p := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	first := callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderKey, "s-1")
	wantResult(t, first, result.OK)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderKey, "s-1"), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// A shed order did not run, so its key may be used again.
func TestKeyOfShedOrderIsReleased(t *testing.T) {
	shedding := newScriptedTarget(t, respondAlways(shedAnswer))
	good := newScriptedTarget(t, respondAlways(okAnswer))
	kv := newStore()
	a := newTestProxy(t, withKeys(kv, model.OutageRefuse), shedding.address())
	b := newTestProxy(t, withKeys(kv, model.OutageRefuse), good.address())
	wantOrder(t, a, "117 not-run")
	wantOrder(t, b, "0 ran")
}

// During a store outage keyed orders are refused or served as the account
// requires; idempotent requests and orders without a key are always served.
func TestStoreOutagePolicyPerAccount(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	kv := newStore()
	kv.SetOutage(true)
	refusing := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	serving := newTestProxy(t, withKeys(kv, model.OutageServe), target.address())
	wantOrder(t, refusing, "131 not-run")
	target.wantRequests(t, 0)
	for _, want := range []string{"0 ran", "130 unknown"} {
		wantOrder(t, serving, want)
	}
	wantResult(t, call(refusing, http.MethodPost, "/orders", "x"), result.OK)
	wantResult(t, call(refusing, http.MethodGet, "/stock", ""), result.OK)
}

// An order must not be sent if it is unknown whether its key was recorded.
func TestUnconfirmedKeyRecordIsNotSent(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	lost := func(c faultkv.Call) faultkv.Decision {
		if c.Kind == faultkv.KindSwap || c.Kind == faultkv.KindGet {
			return faultkv.Decision{Fault: faultkv.Drop}
		}
		return faultkv.Decision{}
	}
	kv := faultkv.New(memkv.New(memkv.Options{}), lost)
	p := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	wantOrder(t, p, "132 not-run")
	target.wantRequests(t, 0)
}
