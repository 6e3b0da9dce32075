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

// A dealer's answer is lost with its entry VM, and the dealer's client sends the
// order again through another one. It must not run a second time.
func TestRepeatThroughAnotherNodeIsRefused(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
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

// A warehouse sends a scan again with its key. Uploads are not idempotent either.
func TestRepeatedUploadIsRefused(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
	kv := newStore()
	p := newTestProxy(t, withKeys(kv, model.OutageRefuse), target.address())
	first := callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderKey, "s-1")
	wantResult(t, first, result.OK)
	wantResult(t, callWithinGrant(p, http.MethodPost, "/docs", "scan", result.HeaderKey, "s-1"), result.DuplicateKey)
	target.wantRequests(t, 1)
}

// A target sheds an order with a key. The order did not run, so the dealer may
// send it again with the same key.
func TestKeyOfAShedOrderMayBeUsedAgain(t *testing.T) {
	shedding := newScripted(t, answering(shedAnswer))
	good := newScripted(t, answering(okAnswer))
	kv := newStore()
	a := newTestProxy(t, withKeys(kv, model.OutageRefuse), shedding.address())
	b := newTestProxy(t, withKeys(kv, model.OutageRefuse), good.address())
	wantOrder(t, a, "117 not-run")
	wantOrder(t, b, "0 ran")
}

// The store is out. One account wants its orders refused, another one served;
// look-ups and orders without a key are served for both.
func TestStoreOutageFollowsTheAccount(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
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

// The store takes the write but every answer is lost, so that it is not known
// whether the key is recorded. The order is not sent.
func TestUnknownRecordIsNotSent(t *testing.T) {
	target := newScripted(t, answering(okAnswer))
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
