package holder

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/observe"
)

// The decider needs the plan that a node has reached to detect lagging nodes and
// enforce the move cap.
func TestRequestCarriesPlanReached(t *testing.T) {
	request := NewRequest(observe.Report{PlanEpoch: 3, PlanSequence: 4})
	if request.PlanEpoch != 3 || request.PlanSequence != 4 {
		t.Fatalf("request %v", request)
	}
}
