package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
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
