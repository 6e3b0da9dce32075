package config_test

import (
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// TestAllProblemsAtOnce gives one document with many faults; every one is to
// be named with its line, and nothing may be in force.
func TestAllProblemsAtOnce(t *testing.T) {
	account := `[account]
name = daehan
template = dealer
[moves]
move_cap_percent = 140
move_window_ms = 30000
[services]
[place kr-seoul-a]
zone = kr-seoul
[service dealer-desk]
deadline_ms = soon
deadline_ms = 5
[drain tuesday]
start = tomorrow
`
	_, err := config.ResolveText("dealer.ini", examples.Text("dealer"), "daehan.ini", []byte(account))
	problems, ok := err.(config.Problems)
	if !ok {
		t.Fatalf("got %v", err)
	}
	want := []string{
		`daehan.ini:5: [moves] move_cap_percent: wrong value, got "140"; permitted: a number from 0.1 to 100`,
		`daehan.ini:6: [moves] move_window_ms: wrong unit, got "30000"; permitted: move_window_seconds`,
		`daehan.ini:7: [services] unknown section`,
		`daehan.ini:9: [place kr-seoul-a] zone: unknown key`,
		`daehan.ini:12: [service dealer-desk] deadline_ms: the key stands twice`,
		`daehan.ini:14: [drain tuesday] start: wrong value, got "tomorrow"`,
	}
	for _, line := range want {
		if !strings.Contains(problems.Error(), line) {
			t.Errorf("missing %q in\n%v", line, problems)
		}
	}
}

// The check must be of the merged result: a template and an account that are each valid may not be
// so together.
func TestMergedAccountIsChecked(t *testing.T) {
	narrowed := strings.Replace(string(examples.Text("dealer")), "[excess]", "[drains]\nlongest_seconds = 600\n\n[excess]", 1)
	drained := string(examples.Text("daehan")) + `
[drain night]
place = kr-seoul-a
start = 2026-01-01T00:00:00Z
end = 2026-01-01T01:00:00Z
until = 2026-01-01T02:00:00Z
`
	if _, err := config.ResolveText("t", []byte(narrowed), "a", examples.Text("daehan")); err != nil {
		t.Fatal(err)
	}
	if _, err := config.ResolveText("t", examples.Text("dealer"), "a", []byte(drained)); err != nil {
		t.Fatal(err)
	}
	_, err := config.ResolveText("t", []byte(narrowed), "a", []byte(drained))
	if err == nil || !strings.Contains(err.Error(), "[drain night] end") {
		t.Errorf("got %v", err)
	}
}

func TestCrossReferences(t *testing.T) {
	cases := map[string]string{
		"[place kr-jeju-a]\nregion = kr-jeju\n":                         "unknown region",
		"[capacity dealer-desk/nowhere]\ncapacity_rps=1\n":              `unknown place "nowhere"`,
		"[region kr-jeju]\ncapacity_rps=1\nlink_in_rps=1\n":             "the delay between two regions is missing",
		"[callers kr-jeju]\nblocks = 10.0.0.0/8\n":                      "unknown region",
		"[service new]\nslots_per_target=1\nconnections_per_target=1\n": "the service has no route",
		"[service new]\n": "[service new] slots_per_target: the key is missing",
	}
	for extra, want := range cases {
		_, err := resolveExample(t, examples.Pairs()[0], "\n"+extra)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", extra, err, want)
		}
	}
}

func TestDrainsLeaveAPlace(t *testing.T) {
	var drains strings.Builder
	for i, place := range []string{"kr-seoul-a", "kr-seoul-b", "kr-busan-a", "kr-busan-b", "kr-daejeon-a", "kr-daejeon-b"} {
		drains.WriteString("\n[drain d" + string(rune('0'+i)) + "]\nplace = " + place + "\nstart = 2026-01-01T00:0" + string(rune('0'+i)) + ":00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n")
	}
	_, err := resolveExample(t, examples.Pairs()[0], drains.String())
	if err == nil || !strings.Contains(err.Error(), "leave no place") {
		t.Errorf("got %v", err)
	}
}
