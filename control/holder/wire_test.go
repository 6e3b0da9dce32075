package holder

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/observe"
)

// Without the plan that a node has reached, the decider cannot tell that it
// lags, and lets more than the cap move when its callers go elsewhere.
func TestRequestNamesThePlanReached(t *testing.T) {
	request := NewRequest(observe.Report{PlanEpoch: 3, PlanSequence: 4})
	if request.PlanEpoch != 3 || request.PlanSequence != 4 {
		t.Fatalf("request %v", request)
	}
}
