package steering

import (
	"encoding/json"
	"testing"
)

// A plan goes to every node with each change. Its size must depend on the
// flows and the places they use, never on the number of client blocks.
func TestPlanIsSmall(t *testing.T) {
	for _, c := range []struct{ places, services, most int }{{6, 2, 3_000}, {160, 4, 50_000}} {
		in := settled(c.places, c.services)
		body, err := json.Marshal(Decide(in).Plan)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d places, %d services: %d bytes as JSON", c.places, c.services, len(body))
		if len(body) > c.most {
			t.Errorf("%d bytes, at most %d", len(body), c.most)
		}
	}
}
