package route

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

func config(version uint64, routes ...site.Route) *site.Config {
	return &site.Config{Version: version, Routes: routes}
}

func routeTo(name, prefix string, services ...string) site.Route {
	r := site.Route{Name: name, Host: "h", Prefix: prefix}
	for i, s := range services {
		r.Services = append(r.Services, site.WeightedService{Service: s, Weight: float64(90 - 80*i)})
	}
	return r
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(config(1, routeTo("short", "/a/", "s"), routeTo("long", "/a/b/", "s")), nil)
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/b/": "", "/": ""} {
		got := ""
		if e := table.Match("h:80", path); e != nil {
			got = e.Name
		}
		if got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
	if table.Match("other", "/a/x") != nil {
		t.Error("matched the route of another host")
	}
}

// Each service gets its share of short sequences of requests, not only on average.
func TestServicesGetTheirWeights(t *testing.T) {
	e := NewTable(config(1, routeTo("r", "/", "big", "small")), nil).Match("h", "/")
	small := 0
	for i := range 100 {
		if s, _ := e.NextService(); s == "small" {
			small++
		}
		if want := (i + 1) / 10; small < want-1 || small > want+1 {
			t.Fatalf("%d of %d requests, want one in ten", small, i+1)
		}
	}
}

// A change of the configuration must not discard the latency estimates of a service.
func TestEstimatesSurviveConfigurationChange(t *testing.T) {
	first := NewTable(config(1, routeTo("r", "/", "s")), nil)
	_, before := first.Match("h", "/").NextService()
	changed := routeTo("renamed", "/", "s", "new")
	changed.Services[1].Weight = 0
	second := NewTable(config(2, changed), first)
	_, after := second.Match("h", "/").NextService()
	if before != after {
		t.Error("the estimates of the service were reset")
	}
	var none *placing.Class
	if second.Match("h", "/").classes["new"] == none {
		t.Error("no estimates for the new service")
	}
}

// Prefixes without a slash at the end match parts of a segment, and compete by length with the
// others.
func TestPrefixesWithoutSlash(t *testing.T) {
	table := NewTable(config(1, routeTo("slash", "/a/", "s"), routeTo("part", "/a/bc", "s"), routeTo("short", "/a", "s"), routeTo("deep", "/a/bcd/", "s"), routeTo("again", "/a/", "s")), nil)
	for path, want := range map[string]string{"/a/x": "slash", "/a/bcx": "part", "/a/bcd/x": "deep", "/ax": "short", "/a/bcd": "part", "/": "", "": ""} {
		got := ""
		if e := table.Match("h", path); e != nil {
			got = e.Name
		}
		if got != want {
			t.Errorf("%q: %q, want %q", path, got, want)
		}
	}
}
