package scenario

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

const (
	// failureNodes is the fleet that a part of fails.
	failureNodes = 102
	// failureTime is how long the rest is watched after the failure, longer
	// than the removal time and a decider's lease together.
	failureTime = 60 * time.Second
	// failureSample is the interval of which the largest sums are peaks.
	failureSample = time.Second
	// listDelay is how long the VM list goes on showing the failed nodes.
	listDelay = 10 * time.Second
)

// fleetFailure ends a part of the nodes at once, without a planned stop.
func fleetFailure() Scenario {
	return Scenario{
		Name:     "fleet-failure",
		SizeName: "failed",
		Summary:  "102 whole idle nodes, 2 accounts; the given number fails at once: peaks on the others and at the store",
		MaxSize:  failureNodes / 2,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runFleetFailure(ctx, int(p.Size))
		},
	}
}

func runFleetFailure(ctx context.Context, failed int) ([]report.Metric, error) {
	w := newFleetWorld()
	defer w.close()
	quiet, err := w.startQuiet(ctx, func(time.Duration) {})
	if err != nil {
		return nil, err
	}
	w.fail(failed)
	listed := false
	after, err := w.peaks(ctx, failureTime, func(elapsed time.Duration) {
		if !listed && elapsed >= listDelay {
			w.unlist(failed)
			listed = true
		}
	})
	if err != nil {
		return nil, err
	}
	return append(quiet.metrics("quiet"), after.metrics("failure")...), nil
}

// startQuiet starts the fleet that a part of fails, lets it settle and returns
// the peaks of a quiet time, with each called before every sample.
func (w *fleetWorld) startQuiet(ctx context.Context, each func(elapsed time.Duration)) (peakReading, error) {
	if err := w.commitAll(ctx, fleetAccounts, 0); err != nil {
		return peakReading{}, errors.Wrap(err, "fleet: commit the configuration")
	}
	if err := w.start(ctx, failureNodes); err != nil {
		return peakReading{}, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return peakReading{}, err
	}
	return w.peaks(ctx, settleTime, each)
}

// fail ends the first nodes of the fleet's order by place: a failure takes
// neighbours, so that it takes whole failure domains as it grows.
func (w *fleetWorld) fail(count int) {
	order := w.byPlace()
	done := make(chan struct{}, count)
	for _, i := range order[:count] {
		go func() {
			w.nodes[i].Kill()
			done <- struct{}{}
		}()
	}
	for range count {
		<-done
	}
}

// byPlace returns the indexes of the nodes, place after place.
func (w *fleetWorld) byPlace() []int {
	var order []int
	for place := range targetPlaces {
		for i := place; i < len(w.nodes); i += targetPlaces {
			order = append(order, i)
		}
	}
	return order
}

// unlist takes the failed nodes out of the VM list.
func (w *fleetWorld) unlist(count int) {
	gone := make(map[int]bool)
	for _, i := range w.byPlace()[:count] {
		gone[i] = true
	}
	old := w.list.Load()
	next := &membership.List{Sequence: old.Sequence + 1}
	for i, vm := range old.VMs {
		if !gone[i] {
			next.VMs = append(next.VMs, vm)
		}
	}
	w.list.Store(next)
}

// peakReading is the largest sum over one interval of each figure.
type peakReading struct {
	nodes                  int
	reads, writes, waiting float64
	bytes, processor       float64
}

// peaks samples the counters for a time and calls each before every sample.
func (w *fleetWorld) peaks(ctx context.Context, duration time.Duration, each func(elapsed time.Duration)) (peakReading, error) {
	peak := peakReading{nodes: len(w.list.Load().VMs)}
	started := time.Now()
	last := w.read()
	for time.Since(started) < duration {
		each(time.Since(started))
		if err := pause(ctx, failureSample); err != nil {
			return peak, err
		}
		now := w.read()
		peak.take(last, now)
		last = now
	}
	return peak, nil
}

func (p *peakReading) take(a, b fleetReading) {
	seconds := b.at.Sub(a.at).Seconds()
	reads, writes := readsAndWrites(b.calls.Sub(a.calls))
	p.reads = max(p.reads, reads/seconds)
	p.writes = max(p.writes, writes/seconds)
	p.waiting = max(p.waiting, float64(b.waiting))
	p.bytes = max(p.bytes, float64(b.loopback.bytes-a.loopback.bytes)/seconds)
	p.processor = max(p.processor, (b.processor-a.processor).Seconds()/seconds)
}

func (p *peakReading) metrics(when string) []report.Metric {
	nodes := float64(p.nodes)
	return []report.Metric{
		{Name: when + ": store reads, peak", Unit: "1/s", Value: p.reads},
		{Name: when + ": store writes, peak", Unit: "1/s", Value: p.writes},
		{Name: when + ": waiting watches, peak", Unit: "calls", Value: p.waiting},
		{Name: when + ": peer bytes, peak", Unit: "B/s/node", Value: p.bytes / nodes},
		{Name: when + ": processor, peak", Unit: "% of a core/node", Value: 100 * p.processor / nodes},
	}
}

func readsAndWrites(calls faultkv.Counts) (reads, writes float64) {
	for _, kind := range faultkv.Kinds() {
		if kind.Writes() {
			writes += float64(calls.Of(kind))
		} else {
			reads += float64(calls.Of(kind))
		}
	}
	return reads, writes
}
