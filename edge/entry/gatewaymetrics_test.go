package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
)

// Each client account gets metrics of its own, up to a bound; keys must not be able to exhaust the
// memory of a VM.
func TestAccountMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newGatewayMetrics(scope)
	for i := range 2 * maxAccountMetrics {
		m.RequestEnded("r", "s", fmt.Sprint("account-", i), 0, time.Millisecond)
	}
	m.RequestEnded("r", "s", "", 0, time.Millisecond)
	counters := scope.Snapshot().Counters()
	if n := len(m.accounts); n != maxAccountMetrics+1 {
		t.Errorf("metrics of %d accounts", n)
	}
	if c := counters["account_requests+account="+otherAccounts+",result=0"]; c == nil || c.Value() != maxAccountMetrics {
		t.Errorf("counter of the others: %v", c)
	}
}

// The work of an account that is not sent any more must become 0, gauges must stay bounded, and the total of
// overtaken requests must not be counted again at each update.
func TestAccountWorkMetrics(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newGatewayMetrics(scope)
	for i := range maxAccountMetrics + 10 {
		m.setAccountWork([]fairshare.Named{{Service: "s", Account: fmt.Sprint(i), Work: time.Second}}, 7)
	}
	snapshot := scope.Snapshot()
	if c := snapshot.Counters()["fair_share_overtaken+"]; c == nil || c.Value() != 7 {
		t.Errorf("counter %v", c)
	}
	first, others := snapshot.Gauges()["account_work+account=0,service=s"], snapshot.Gauges()["account_work+account="+otherAccounts+",service=s"]
	if first == nil || first.Value() != 0 || others == nil || others.Value() != 1 || len(m.accountWork) != maxAccountMetrics+1 {
		t.Errorf("gauges %v, %v, %d in all", first, others, len(m.accountWork))
	}
}

// The totals of promises must not be counted again at each update.
func TestReturnsAreCountedOnce(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newGatewayMetrics(scope)
	for range 2 {
		m.countReturns(5, 3, 1)
	}
	counters := scope.Snapshot().Counters()
	for name, want := range map[string]int64{"returns_promised+": 5, "returns_kept+": 3, "returns_lapsed+": 1} {
		if c := counters[name]; c == nil || c.Value() != want {
			t.Errorf("%s %v, want %d", name, c, want)
		}
	}
}
