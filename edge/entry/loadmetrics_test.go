package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Guards against statements that are counted as malformed, and errors below 0 that get lost.
func TestLoadMetrics(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newGatewayMetrics(scope)
	m.LoadStated("s", false)
	m.LoadStated("s", true)
	m.LoadStated("s", true)
	m.ExpectedError("s", -60*time.Millisecond)
	m.ExpectedError("s", 60*time.Millisecond)
	counters := scope.Snapshot().Counters()
	if stated, malformed := counters["load_statements+service=s"], counters["load_malformed+service=s"]; stated.Value() != 1 || malformed.Value() != 2 {
		t.Errorf("%d stated, %d malformed", stated.Value(), malformed.Value())
	}
	if h := scope.Snapshot().Histograms()["expected_error_seconds+service=s"]; h == nil || h.Values()[-0.05] != 1 || h.Values()[0.1] != 1 {
		t.Errorf("%+v", h)
	}
}
