package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
	"github.com/yuccaroute/yuccaroute/lookup/sites"
)

// swapReaders look up while the table is being swapped.
const swapReaders = 4

// blocksScenario measures the table of client blocks with a choice among 160
// sites: its memory, a look-up, and swaps while readers go on.
func blocksScenario() Scenario {
	return Scenario{
		Name:     "blocks",
		SizeName: "blocks",
		Summary:  "block table and site choice: memory, look-up, swap under look-ups",
		MaxSize:  4 * targetBlocks,
		Run:      runBlocks,
	}
}

// blockWorld is the state of one repetition. readers load the table from
// current, as a node's look-ups do.
type blockWorld struct {
	sample  blocktest.Sample
	current atomic.Pointer[blocks.View]
	sites   *sites.Table
}

func runBlocks(ctx context.Context, p Params) ([]report.Metric, error) {
	sample := blocktest.New(int(p.Size), targetRegions, p.Seed)
	w := &blockWorld{sample: sample, sites: sites.New(evenFlow())}
	before := liveHeap()
	w.current.Store(blocks.Build(w.sample.Blocks, nil))
	kept := liveHeap() - before
	quiet := w.read(ctx, p.Duration, nil)
	pauses := newPauseMeter()
	swapped := w.read(ctx, p.Duration, w.swapUntil)
	longestPause := pauses.longest()
	return []report.Metric{
		{Name: "kept", Unit: "B", Value: float64(kept)},
		{Name: "look-up", Unit: "ns", Value: quiet.nanosPerLookup},
		{Name: "rate quiet", Unit: "1/s", Value: quiet.rate},
		{Name: "rate swapping", Unit: "1/s", Value: swapped.rate},
		{Name: "longest gap quiet", Unit: "us", Value: float64(quiet.longestGap.Microseconds())},
		{Name: "longest gap swapping", Unit: "us", Value: float64(swapped.longestGap.Microseconds())},
		{Name: "longest collector pause swapping", Unit: "us", Value: float64(longestPause.Microseconds())},
		{Name: "swap", Unit: "ms", Value: swapped.swap.perSwap().Seconds() * 1000},
		{Name: "swap garbage", Unit: "B", Value: swapped.swap.garbagePerSwap()},
	}, ctx.Err()
}

// readings is what the readers of one interval saw, in sum.
type readings struct {
	rate           float64
	nanosPerLookup float64
	// longestGap is the longest time between two looks at the clock, which are
	// one batch of look-ups apart.
	longestGap time.Duration
	swap       swaps
}

// read looks up from swapReaders goroutines for a duration, beside the given
// work.
func (w *blockWorld) read(ctx context.Context, duration time.Duration, beside func(context.Context) swaps) readings {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var running sync.WaitGroup
	seen := make([]reader, swapReaders)
	for i := range seen {
		seen[i].random = rand.New(rand.NewPCG(uint64(i), 0))
		running.Go(func() { seen[i].run(ctx, w) })
	}
	var r readings
	if beside != nil {
		r.swap = beside(ctx)
	}
	running.Wait()
	var total uint64
	for i := range seen {
		total += seen[i].lookups
		r.longestGap = max(r.longestGap, seen[i].longestGap)
	}
	r.rate = float64(total) / duration.Seconds()
	r.nanosPerLookup = swapReaders * 1e9 / r.rate
	return r
}

// reader is one goroutine that looks up.
type reader struct {
	random     *rand.Rand
	lookups    uint64
	longestGap time.Duration
}

// batch is how many look-ups go between two looks at the clock.
const batch = 64

func (r *reader) run(ctx context.Context, w *blockWorld) {
	at := r.random.IntN(len(w.sample.Addresses))
	last := time.Now()
	for ctx.Err() == nil {
		for range batch {
			block, _, _ := w.current.Load().Find(w.sample.Addresses[at])
			w.sites.Site(block.Hash)
			if at++; at == len(w.sample.Addresses) {
				at = 0
			}
		}
		r.lookups += batch
		now := time.Now()
		r.longestGap = max(r.longestGap, now.Sub(last))
		last = now
	}
}

// swaps is what the writer did.
type swaps struct {
	count   int
	elapsed time.Duration
	garbage uint64
}

// swapUntil builds and publishes tables until ctx ends.
func (w *blockWorld) swapUntil(ctx context.Context) swaps {
	var s swaps
	start, before := time.Now(), allocated()
	for ctx.Err() == nil {
		w.current.Store(blocks.Build(w.sample.Blocks, nil))
		s.count++
	}
	s.elapsed = time.Since(start)
	s.garbage = allocated() - before
	return s
}

func (s swaps) perSwap() time.Duration {
	return s.elapsed / time.Duration(max(s.count, 1))
}

func (s swaps) garbagePerSwap() float64 {
	return float64(s.garbage) / float64(max(s.count, 1))
}

// evenFlow spreads blocks evenly over the target's sites.
func evenFlow() *plan.Flow {
	flow := &plan.Flow{}
	for i := range targetSites {
		site := model.PlaceName(fmt.Sprintf("site-%03d", i))
		flow.Shares = append(flow.Shares, plan.Share{Place: site, PPM: plan.Whole / targetSites})
	}
	return flow
}

// liveHeap returns the bytes in use after a collection.
func liveHeap() uint64 {
	// The second collection frees what finalizers of the first released.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocated returns the bytes allocated since the process started.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
