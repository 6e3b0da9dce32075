package measure

import (
	"context"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

const (
	// formTime bounds the start of a fleet.
	formTime = 2 * time.Minute
	// pauseBetween is the time from one change to the next.
	pauseBetween = 20 * time.Millisecond
	// faultAt is the part of a phase's changes before the fault.
	faultAt = 4
)

// Run measures one fleet.
func Run(ctx context.Context, config Config) (Point, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Point{}, err
	}
	before := liveHeap()
	f, err := newFleet(config)
	if err != nil {
		return Point{}, err
	}
	defer f.stop()
	p := Point{Nodes: config.Nodes}
	start := time.Now()
	forming, cancel := context.WithTimeout(ctx, formTime)
	defer cancel()
	if err := f.start(forming); err != nil {
		return p, err
	}
	p.FormedAfter = time.Since(start)
	wait.For(ctx, config.Settle)
	p.Watchers = f.source.count()
	p.HeapPerNode = float64(liveHeap()-before) / float64(config.Nodes)
	p.Idle = f.cost(ctx, config.IdleTime, 0)
	p.Busy = f.cost(ctx, config.BusyTime, config.BusyRate)
	p.Quiet = f.delays(ctx, func() {})
	hung := f.relay()
	p.Hung = f.delaysBut(ctx, hung, hung.gate.hold)
	hung.gate.release()
	wait.For(ctx, config.Settle)
	killed := f.relay()
	p.Killed = f.delaysBut(ctx, killed, killed.kill)
	return p, errors.Wrap(ctx.Err(), "measure: not finished")
}

// delays makes the changes of one phase with a fault after the first part.
func (f *fleet) delays(ctx context.Context, fault func()) Delays {
	return f.delaysBut(ctx, nil, fault)
}

// delaysBut is delays without counting one node.
func (f *fleet) delaysBut(ctx context.Context, but *node, fault func()) Delays {
	times := hdrhistogram.New(1, longestWait.Microseconds(), 3)
	var d Delays
	for i := 0; i < f.config.Changes && ctx.Err() == nil; i++ {
		if i == f.config.Changes/faultAt {
			fault()
		}
		took, ok := f.change(ctx, func(n *node) bool { return n != but && !n.dead })
		if !ok {
			d.Lost++
		}
		_ = times.RecordValue(took.Microseconds())
		wait.For(ctx, pauseBetween)
	}
	d.Count = int(times.TotalCount())
	d.P50 = time.Duration(times.ValueAtQuantile(50)) * time.Microsecond
	d.P99 = time.Duration(times.ValueAtQuantile(99)) * time.Microsecond
	d.Max = time.Duration(times.Max()) * time.Microsecond
	return d
}

// relay returns the relay with the most subscribers.
func (f *fleet) relay() *node {
	var found *node
	most := -1
	for _, n := range f.nodes {
		status := n.service.Status()
		if !n.dead && status.Role == topology.Relay.String() && len(status.Subscribers) > most {
			found, most = n, len(status.Subscribers)
		}
	}
	if found == nil {
		return f.nodes[0]
	}
	return found
}

// cost counts traffic and processor time while changes are made at a rate.
func (f *fleet) cost(ctx context.Context, length time.Duration, rate float64) Cost {
	bytes := make([]int64, len(f.nodes))
	var total, writes, across, acrossWrites int64
	read := func(sign int64) {
		for i, n := range f.nodes {
			b := n.meter.bytes.Load()
			bytes[i] = b - bytes[i]
			total += sign * b
			writes += sign * n.meter.writes.Load()
			across += sign * n.meter.acrossBytes.Load()
			acrossWrites += sign * n.meter.acrossWrites.Load()
		}
	}
	read(-1)
	start, cpu := time.Now(), processorTime()
	f.changeAtRate(ctx, length, rate)
	seconds := time.Since(start).Seconds()
	used := processorTime() - cpu
	read(1)
	nodes := float64(len(f.nodes))
	var open int64
	for _, n := range f.nodes {
		open += n.meter.open.Load()
	}
	c := Cost{
		ConnectionsPerNode: float64(open) / nodes,
		BytesPerNode:       float64(total) / nodes / seconds,
		MessagesPerNode:    float64(writes) / nodes / seconds,
		BytesAcross:        float64(across) / seconds,
		MessagesAcross:     float64(acrossWrites) / seconds,
		CPUPerNode:         used.Seconds() / nodes / seconds,
	}
	for _, b := range bytes {
		c.BytesWorstNode = max(c.BytesWorstNode, float64(b)/seconds)
	}
	return c
}

// changeAtRate makes changes at a rate until the time is over.
func (f *fleet) changeAtRate(ctx context.Context, length time.Duration, rate float64) {
	if rate <= 0 {
		wait.For(ctx, length)
		return
	}
	every := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer every.Stop()
	end := time.After(length)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-every.C:
			f.source.change()
		}
	}
}

// liveHeap returns the bytes of heap in use after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
