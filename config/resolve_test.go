package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

func resolveExample(t *testing.T, pair examples.Pair, extra string) (*config.Resolved, error) {
	t.Helper()
	account := string(examples.Text(pair.Account)) + extra
	return config.ResolveText(pair.Template+".ini", examples.Text(pair.Template), pair.Account+".ini", []byte(account))
}

func TestExamplesResolve(t *testing.T) {
	for _, pair := range examples.Pairs() {
		resolved, err := resolveExample(t, pair, "")
		if err != nil {
			t.Fatalf("%s:\n%v", pair.Account, err)
		}
		account := resolved.Account
		if len(account.Regions) != 3 || len(account.Places) != 6 || len(account.Services) != 2 || len(account.Callers) != 3 {
			t.Errorf("%s: wrong parts: %+v", pair.Account, account)
		}
		for _, region := range account.Regions {
			if len(region.Delays) != 2 {
				t.Errorf("%s: region %s has %d delays", pair.Account, region.Name, len(region.Delays))
			}
		}
	}
}

func TestMergeTakesAccountOverTemplateOverDefault(t *testing.T) {
	resolved, err := resolveExample(t, examples.Pairs()[0], "")
	if err != nil {
		t.Fatal(err)
	}
	desk := resolved.Account.Service("dealer-desk")
	if desk.Deadline != 1500*time.Millisecond || desk.RetryBudget != 0.1 {
		t.Errorf("template values not in force: %+v", desk)
	}
	if desk.ClassOf("GET", "/stock/6204") != model.Idempotent || desk.ClassOf("POST", "/orders") != model.NonIdempotent {
		t.Error("wrong classes")
	}
	want := map[string]string{
		"policy/latency_weight":   "account",
		"policy/headroom_percent": "template",
		"drains/longest_seconds":  "default",
	}
	got := map[string]string{}
	for _, v := range resolved.Values() {
		if _, wanted := want[v.Section+"/"+v.Key]; wanted {
			got[v.Section+"/"+v.Key] = string(v.Origin)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestAccountGivesUpAPlace(t *testing.T) {
	resolved, err := resolveExample(t, examples.Pairs()[0], "\n[drain x]\nplace = kr-busan-a\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(resolved.Account.Drains) != 1 {
		t.Fatal("drain not read")
	}
	text := strings.Replace(string(examples.Text("daehan")), "[place kr-busan-a]\n", "[place kr-busan-a]\nenabled = no\n", 1)
	resolved, err = config.ResolveText("t", examples.Text("dealer"), "a", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if len(resolved.Account.Places) != 5 || resolved.Account.Services[0].CapacityAt("kr-busan-a") != 0 {
		t.Error("the place is still in use")
	}
}

func TestExportRoundTrips(t *testing.T) {
	for _, pair := range examples.Pairs() {
		resolved, err := resolveExample(t, pair, "")
		if err != nil {
			t.Fatal(err)
		}
		template, _ := config.ParseTemplate("t", resolved.TemplateText)
		account, _ := config.ParseAccount("a", resolved.AccountText)
		again, err := config.ResolveText("t", template.Export(), "a", account.Export())
		if err != nil {
			t.Fatal(err)
		}
		merged, err := config.ResolveText("t", []byte("[template]\nname = "+pair.Template+"\n"), "a", resolved.ExportMerged())
		if err != nil {
			t.Fatal(err)
		}
		body, err := config.Encode(resolved.Account)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		compare := cmp.Comparer(func(a, b model.CallerBlock) bool { return a == b })
		for _, other := range []*model.Account{again.Account, merged.Account, decoded} {
			if diff := cmp.Diff(resolved.Account, other, compare); diff != "" {
				t.Error(diff)
			}
		}
	}
}
