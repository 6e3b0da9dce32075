package steering

import (
	"encoding/json"
	"testing"
)

// The size of a plan depends on the flows and their places, not on the number of
// client blocks, since each change is sent to every node.
func TestPlanIsSmall(t *testing.T) {
	for _, c := range []struct{ places, services, most int }{{6, 2, 3_000}, {160, 4, 50_000}} {
		in := steadyState(c.places, c.services)
		body, err := json.Marshal(Decide(in).Plan)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d places, %d services: %d bytes as JSON", c.places, c.services, len(body))
		if len(body) > c.most {
			t.Errorf("%d bytes, want at most %d", len(body), c.most)
		}
	}
}
