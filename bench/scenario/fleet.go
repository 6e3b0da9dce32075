package scenario

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

const (
	// maxFleet bounds the nodes in one process.
	maxFleet = 200
	// fleetAccounts is how many accounts there are where the nodes vary.
	fleetAccounts = 2
	// maxAccounts bounds the accounts of a fleet.
	maxAccounts = 64
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 2 * time.Minute
	// settleTime passes between the start and the measurement.
	settleTime = 20 * time.Second
)

// fleetScenario runs whole nodes, without requests, and measures what their
// control work costs. The store and the VM list are in memory, so that the
// loopback carries what nodes say to each other and nothing else.
func fleetScenario() Scenario {
	return Scenario{
		Name:     "fleet",
		SizeName: "nodes",
		Summary:  "whole idle nodes in one process, two accounts: processor, memory, messages, store calls",
		MaxSize:  maxFleet,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runFleet(ctx, int(p.Size), fleetAccounts, p.Duration)
		},
	}
}

// fleetByAccounts varies the accounts instead of the nodes.
func fleetByAccounts() Scenario {
	return Scenario{
		Name:     "fleet-accounts",
		SizeName: "accounts",
		Summary:  "17 whole idle nodes in one process, by accounts of 6 places and 2 services",
		MaxSize:  maxAccounts,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runFleet(ctx, targetPlaces, int(p.Size), p.Duration)
		},
	}
}

func runFleet(ctx context.Context, nodes, accounts int, duration time.Duration) ([]report.Metric, error) {
	w := newFleetWorld()
	defer w.close()
	if err := w.commitAll(ctx, accounts, 0); err != nil {
		return nil, errors.Wrap(err, "fleet: commit the configuration")
	}
	before := liveHeap()
	if err := w.start(ctx, nodes); err != nil {
		return nil, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	started := w.read()
	if err := pause(ctx, duration); err != nil {
		return nil, err
	}
	ended := w.read()
	kept := liveHeap() - before
	metrics := fleetMetrics(started, ended, len(w.nodes), kept)
	changed, err := w.measureChanges(ctx)
	return append(metrics, changed...), err
}

// waitReady returns when every node can serve every account.
func (w *fleetWorld) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range w.nodes {
		for _, account := range w.accounts {
			if err := n.WaitServing(ctx, account); err != nil {
				return errors.Wrapf(err, "fleet of %d: account %s", len(w.nodes), account)
			}
		}
	}
	return nil
}

// fleetReading is the state of all counters at one moment.
type fleetReading struct {
	at        time.Time
	processor time.Duration
	calls     faultkv.Counts
	waiting   int64
	listReads int64
	loopback  loopbackCounters
	routines  int
}

func (w *fleetWorld) read() fleetReading {
	return fleetReading{
		at:        time.Now(),
		processor: processorTime(),
		calls:     w.store.Counts(),
		waiting:   w.watches.waiting.Load(),
		listReads: w.listReads.Load(),
		loopback:  readLoopback(),
		routines:  runtime.NumGoroutine(),
	}
}

func fleetMetrics(a, b fleetReading, nodes int, kept uint64) []report.Metric {
	seconds := b.at.Sub(a.at).Seconds()
	each := seconds * float64(nodes)
	reads, writes := readsAndWrites(b.calls.Sub(a.calls))
	return []report.Metric{
		{Name: "processor", Unit: "% of a core/node", Value: 100 * (b.processor - a.processor).Seconds() / each},
		{Name: "heap", Unit: "B/node", Value: float64(kept) / float64(nodes)},
		{Name: "goroutines", Unit: "1/node", Value: float64(b.routines) / float64(nodes)},
		{Name: "peer bytes", Unit: "B/s/node", Value: float64(b.loopback.bytes-a.loopback.bytes) / each},
		{Name: "peer packets", Unit: "1/s/node", Value: float64(b.loopback.packets-a.loopback.packets) / each},
		{Name: "store reads", Unit: "1/s", Value: reads / seconds},
		{Name: "store writes", Unit: "1/s", Value: writes / seconds},
		{Name: "list reads", Unit: "1/s", Value: float64(b.listReads-a.listReads) / seconds},
		{Name: "waiting watches", Unit: "calls", Value: float64(b.waiting)},
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
