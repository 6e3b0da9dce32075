package scenario

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/report"
)

// What the decider scenarios hold constant.
const (
	// todayPlaces is how many places an account of today has.
	todayPlaces = 6
	// useNodes is how many nodes report where the load varies.
	useNodes = 100
	// deciderWarmup is left out of the figures: the plan settles in it.
	deciderWarmup = 60 * time.Second
	// deciderTime is the simulated time that is measured.
	deciderTime = 30 * time.Second
	// ledgerStep is how often a decider decides.
	ledgerStep = time.Second
)

// deciderByNodes measures the decider of one account of today's size.
func deciderByNodes() Scenario {
	return Scenario{
		Name:     "decider-nodes",
		SizeName: "nodes",
		Summary:  "one account with 6 places and 2 services, by nodes; simulated time",
		MaxSize:  2 * targetNodes,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: int(p.Size), sites: todayPlaces, use: busyUse}, p.Seed)
		},
	}
}

// deciderBySites measures the decider of one account that uses all sites.
func deciderBySites() Scenario {
	return Scenario{
		Name:     "decider-sites",
		SizeName: "sites",
		Summary:  "one account with 2 services and 550 nodes, by sites; simulated time",
		MaxSize:  targetSites,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: targetNodes, sites: int(p.Size), use: busyUse}, p.Seed)
		},
	}
}

// deciderByUse measures how often the ledger is written as the load grows.
func deciderByUse() Scenario {
	return Scenario{
		Name:     "decider-use",
		SizeName: "use",
		Summary:  "one account with 6 places, 2 services and 100 nodes, by percent of the capacity used; simulated time",
		MaxSize:  100,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: useNodes, sites: todayPlaces, use: p.Size / 100}, p.Seed)
		},
	}
}

// deciderIdle measures the decider of an account whose callers reach few nodes.
func deciderIdle() Scenario {
	return Scenario{
		Name:     "decider-idle",
		SizeName: "nodes",
		Summary:  "one account with 6 places and 2 services, callers at one node in ten ask for 20 % of the capacity, by nodes; simulated time",
		MaxSize:  2 * targetNodes,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: int(p.Size), sites: todayPlaces, use: idleUse, oneIn: idleOneIn}, p.Seed)
		},
	}
}

// deciderByRelays measures the decider of a busy account with a relay of reports in
// each failure domain.
func deciderByRelays() Scenario {
	return Scenario{
		Name:     "decider-relays",
		SizeName: "nodes",
		Summary:  "as decider-nodes, with relays of reports; simulated time",
		MaxSize:  2 * targetNodes,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: int(p.Size), sites: todayPlaces, use: busyUse, relays: true}, p.Seed)
		},
	}
}

// deciderIdleByRelays measures the same with callers at few nodes.
func deciderIdleByRelays() Scenario {
	return Scenario{
		Name:     "decider-relays-idle",
		SizeName: "nodes",
		Summary:  "as decider-idle, with relays of reports; simulated time",
		MaxSize:  2 * targetNodes,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runDecider(ctx, deciderShape{nodes: int(p.Size), sites: todayPlaces, use: idleUse, oneIn: idleOneIn, relays: true}, p.Seed)
		},
	}
}

// Load of the idle scenario.
const (
	idleUse   = 0.2
	idleOneIn = 10
)

// deciderShape is the size and load of a decider's account.
type deciderShape struct {
	nodes, sites int
	// use is the part of the capacity that callers ask for.
	use float64
	// oneIn tells that callers reach one node in so many; 0 reads as 1.
	oneIn int
	// relays tells that reports go by relay.
	relays bool
}

// runDecider drives the real decider, its planner and its ledger with the
// messages of a fleet, in simulated time. Processor time is real.
func runDecider(ctx context.Context, shape deciderShape, seed uint64) ([]report.Metric, error) {
	before := liveHeap()
	d, err := newDeciderWorld(shape, seed)
	if err != nil {
		return nil, err
	}
	if err := d.run(ctx, deciderWarmup); err != nil {
		return nil, err
	}
	d.counts = deciderCounts{}
	d.busiestRelay()
	started := time.Now()
	if err := d.run(ctx, deciderTime); err != nil {
		return nil, err
	}
	elapsed := time.Since(started)
	kept := liveHeap() - before
	runtime.KeepAlive(d)
	return d.metrics(elapsed, kept), nil
}

// deciderCounts is what happened in the measured time.
type deciderCounts struct {
	messageCounts
	reports            uint64
	writes, writeBytes uint64
	// asked counts nodes that were asked to report.
	asked               uint64
	plans, planBytes    uint64
	renewTime, stepTime time.Duration
}

func (d *deciderWorld) metrics(elapsed time.Duration, kept uint64) []report.Metric {
	c := d.counts
	seconds := deciderTime.Seconds()
	each := float64(max(c.reports, 1))
	relay := d.busiestRelay()
	return []report.Metric{
		{Name: "reports", Unit: "1/s", Value: float64(c.reports) / seconds},
		{Name: "calls", Unit: "1/s", Value: float64(c.calls) / seconds},
		{Name: "asked", Unit: "1/s", Value: float64(c.asked) / seconds},
		{Name: "messages", Unit: "B/s", Value: float64(c.requestBytes+c.answerBytes) / seconds},
		{Name: "request", Unit: "B", Value: float64(c.requestBytes) / each},
		{Name: "answer", Unit: "B", Value: float64(c.answerBytes) / each},
		{Name: "renew", Unit: "us", Value: float64(c.renewTime.Microseconds()) / each},
		{Name: "step", Unit: "ms", Value: c.stepTime.Seconds() * 1000 / seconds},
		{Name: "processor share", Unit: "%", Value: 100 * elapsed.Seconds() / seconds},
		{Name: "ledger", Unit: "B", Value: float64(d.ledgerBytes)},
		{Name: "ledger writes", Unit: "1/s", Value: float64(c.writes) / seconds},
		{Name: "store bytes", Unit: "B/s", Value: float64(c.writeBytes) / seconds},
		{Name: "plans", Unit: "1/s", Value: float64(c.plans) / seconds},
		{Name: "plan", Unit: "B", Value: float64(d.planBytes)},
		{Name: "kept", Unit: "B", Value: float64(kept)},
		{Name: "relay calls", Unit: "1/s", Value: float64(relay.calls) / seconds},
		{Name: "relay messages", Unit: "B/s", Value: float64(relay.requestBytes+relay.answerBytes) / seconds},
	}
}

// run lets simulated time pass.
func (d *deciderWorld) run(ctx context.Context, duration time.Duration) error {
	end := d.now.Add(duration)
	for d.now.Before(end) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := d.step(); err != nil {
			return errors.Wrap(err, "decider")
		}
		d.second()
	}
	return nil
}
