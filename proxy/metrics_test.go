package proxy

import (
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Latencies and results must be counted by account, service and class.
func TestMetricsPerClass(t *testing.T) {
	target := newScriptedTarget(t, respondAlways(okAnswer))
	scope := tally.NewTestScope("", nil)
	p := newTestProxy(t, func(o *Options, _ *model.Account) { o.Scope = scope }, target.address())
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.OK)
	wantResult(t, call(p, http.MethodPost, "/orders", "x"), result.OK)
	p.SetGrants(testGrants(2, 0))
	wantResult(t, call(p, http.MethodGet, "/stock", ""), result.NoCapacity)
	tags := "account=daehan,class=idempotent,service=dealer-desk"
	snapshot := scope.Snapshot()
	for name, want := range map[string]int64{
		"proxy.requests+account=daehan,class=idempotent,result=0,service=dealer-desk":     1,
		"proxy.requests+account=daehan,class=idempotent,result=110,service=dealer-desk":   1,
		"proxy.requests+account=daehan,class=non-idempotent,result=0,service=dealer-desk": 1,
	} {
		if c := snapshot.Counters()[name]; c == nil || c.Value() != want {
			t.Errorf("%s: %v", name, c)
		}
	}
	histogram := snapshot.Histograms()["proxy.latency+"+tags]
	if histogram == nil {
		t.Fatalf("no histogram among %d", len(snapshot.Histograms()))
	}
	count := int64(0)
	for _, n := range histogram.Durations() {
		count += n
	}
	if count != 2 {
		t.Errorf("%d latencies recorded, want 2", count)
	}
}
