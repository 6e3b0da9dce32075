// Package scenario holds the loads and measurements that an experiment can
// name. Each runs in this process on the loopback interface and ends by itself.
package scenario

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
)

// Params are the settings of one repetition.
type Params struct {
	// Size is what the scenario varies; see Scenario.SizeName.
	Size float64
	Seed uint64
	// Rate is the calls offered each second, where the scenario's size is not
	// the rate itself.
	Rate     float64
	Workers  int
	Warmup   time.Duration
	Duration time.Duration
	// Progress may be nil.
	Progress func(load.Progress)
}

// Scenario is one kind of load or measurement.
type Scenario struct {
	Name string
	// SizeName says what Params.Size counts.
	SizeName string
	Summary  string
	// MaxSize bounds Params.Size.
	MaxSize float64
	// Untimed tells that a run takes as long as its work: it uses neither
	// Params.Warmup nor Params.Duration.
	Untimed bool
	Run     func(ctx context.Context, p Params) ([]report.Metric, error)
}

// Size of the target that scenarios use for what they do not vary.
const (
	targetBlocks  = 330_000
	targetNodes   = 550
	targetRegions = 6
	targetPlaces  = 17
	targetSites   = 160
)

// All returns the scenarios, sorted by name.
func All() []Scenario {
	return []Scenario{
		blocksScenario(),
		configByBlocks(),
		deciderByNodes(),
		deciderBySites(),
		deciderByUse(),
		deciderIdle(),
		deciderByRelays(),
		deciderIdleByRelays(),
		fleetScenario(),
		fleetByAccounts(),
		fleetByBlocks(),
		fleetCut(),
		fleetFailure(),
		lookupHTTP(),
		lookupLibrary(),
		membersByVMs(),
		proxyHTTP(),
		storeHTTP(),
	}
}

// Find returns the named scenario.
func Find(name string) (Scenario, bool) {
	all := All()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

// Names returns the names of all scenarios, sorted.
func Names() []string {
	var names []string
	for _, s := range All() {
		names = append(names, s.Name)
	}
	return names
}

// loadMetrics turns a report into figures of a result.
func loadMetrics(r *load.Report) []report.Metric {
	return []report.Metric{
		{Name: "done", Unit: "1/s", Value: r.DonePerSecond},
		{Name: "failed", Unit: "calls", Value: float64(r.Failed)},
		{Name: "late", Unit: "calls", Value: float64(r.Late)},
		{Name: "p50", Unit: "us", Value: r.P50US},
		{Name: "p99", Unit: "us", Value: r.P99US},
		{Name: "p99.9", Unit: "us", Value: r.P999US},
		{Name: "max", Unit: "us", Value: r.MaxUS},
		{Name: "wake p50", Unit: "us", Value: r.WakeP50US},
		{Name: "wake p99", Unit: "us", Value: r.WakeP99US},
	}
}
