package scenario

import (
	"strings"
	"testing"
	"time"
)

// TestScenariosEndWithFigures runs each scenario briefly at a small size. The
// fleet settles for longer than a test may take; module node tests its nodes.
func TestScenariosEndWithFigures(t *testing.T) {
	for _, s := range All() {
		if strings.HasPrefix(s.Name, "fleet") {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			p := Params{Size: 20, Seed: 1, Rate: 200, Workers: 4, Duration: 100 * time.Millisecond}
			metrics, err := s.Run(t.Context(), p)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range metrics {
				if m.Name == "failed" && m.Value != 0 {
					t.Errorf("%v calls failed", m.Value)
				}
			}
			if len(metrics) == 0 {
				t.Error("no figures")
			}
		})
	}
}
