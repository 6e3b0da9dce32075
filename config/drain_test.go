package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

func TestDrainIsPlannedAndCancelled(t *testing.T) {
	before, err := resolveExample(t, examples.Pairs()[0], "")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC)
	planned := before.WithDrain(config.PlannedDrain{
		Name: "tuesday", Place: "kr-seoul-a", Start: start, End: start.Add(time.Hour), Until: start.Add(2 * time.Hour),
	})
	after, err := config.ResolveText("t", before.TemplateText, "a", planned)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(string(planned), strings.TrimRight(string(before.AccountText), "\n")) {
		t.Error("the rest of the document changed")
	}
	drains := after.PlannedDrains()
	if len(drains) != 1 || drains[0].Place != "kr-seoul-a" || !drains[0].Start.Equal(start) {
		t.Errorf("got %+v", drains)
	}
	diff := config.Diff(before, after)
	if len(diff) != 5 || diff[0] != (config.Difference{Section: "drain tuesday", Key: "place", After: "kr-seoul-a"}) {
		t.Errorf("got %+v", diff)
	}
	if d := cmp.Diff(string(before.AccountText), string(after.WithoutDrain("tuesday"))); d != "" {
		t.Error(d)
	}
}

// TestTemplateDrainIsSwitchedOff: a drain that the template plans for all
// accounts is cancelled for one of them.
func TestTemplateDrainIsSwitchedOff(t *testing.T) {
	template := string(examples.Text("dealer")) + "\n[drain shared]\nplace = kr-busan-a\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n"
	before, err := config.ResolveText("t", []byte(template), "a", examples.Text("daehan"))
	if err != nil {
		t.Fatal(err)
	}
	after, err := config.ResolveText("t", []byte(template), "a", before.WithoutDrain("shared"))
	if err != nil {
		t.Fatal(err)
	}
	if len(before.PlannedDrains()) != 1 || len(after.PlannedDrains()) != 0 {
		t.Errorf("got %+v then %+v", before.PlannedDrains(), after.PlannedDrains())
	}
}
