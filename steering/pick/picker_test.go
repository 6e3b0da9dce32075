package pick

import (
	"fmt"
	"math"
	"sync"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

func flowOf(ppm ...uint32) *plan.Flow {
	f := &plan.Flow{Service: "s", Caller: "c"}
	for i, v := range ppm {
		f.Shares = append(f.Shares, plan.Share{Place: model.PlaceName(fmt.Sprint("place-", i)), PPM: v})
	}
	return f
}

// In any short run of requests, the count of each place stays within a few
// requests of its share.
func TestNextFollowsSharesInShortRuns(t *testing.T) {
	f := flowOf(500_000, 300_000, 0, 199_000, 1_000)
	p := New(nil, f)
	const run, runs = 100, 1000
	worst := 0.0
	for range runs {
		counts := map[model.PlaceName]int{}
		for range run {
			counts[p.Next()]++
		}
		for _, s := range f.Shares {
			want := float64(s.PPM) / plan.Whole * run
			worst = max(worst, math.Abs(float64(counts[s.Place])-want))
		}
	}
	if worst > 4 {
		t.Fatalf("in a run of %d requests a place deviates by %.1f requests from its share, want at most 4", run, worst)
	}
}

// The shares hold when the plan changes after every third request. A restarted
// sequence would only use its first points.
func TestNewContinuesSequence(t *testing.T) {
	counts := map[model.PlaceName]int{}
	var p *Picker
	const changes = 3000
	for range changes {
		p = New(p, flowOf(800_000, 200_000))
		for range 3 {
			counts[p.Next()]++
		}
	}
	got := float64(counts["place-0"]) / (3 * changes)
	if math.Abs(got-0.8) > 0.01 {
		t.Fatalf("place-0 got %.3f of the requests, want 0.8", got)
	}
}

func TestNextWithoutShares(t *testing.T) {
	if got := New(nil, &plan.Flow{}).Next(); got != "" {
		t.Fatalf("Next() = %q without shares, want an empty place", got)
	}
}

func TestNextConcurrent(t *testing.T) {
	p := New(nil, flowOf(250_000, 750_000))
	var group sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for range 8 {
		group.Go(func() {
			own := 0
			for range 1000 {
				if p.Next() == "place-0" {
					own++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total += own
		})
	}
	group.Wait()
	if total < 1990 || total > 2010 {
		t.Fatalf("place-0 got %d of 8000, want 2000", total)
	}
}

func TestNextDoesNotAllocate(t *testing.T) {
	p := New(nil, flowOf(250_000, 750_000))
	f := flowOf(250_000, 750_000)
	if n := testing.AllocsPerRun(1000, func() { p.Next(); ForBlock(f, 7) }); n != 0 {
		t.Fatalf("%v allocations per call, want 0", n)
	}
}

// A share change remaps no more blocks than expected, since each remapped block
// hits a cold cache, and the new shares hold.
func TestForBlockRemapsFewBlocks(t *testing.T) {
	const blocks = 200_000
	cases := []struct {
		before, after *plan.Flow
		x             float64
	}{
		{flowOf(500_000, 500_000), flowOf(600_000, 400_000), 0.1},
		{flowOf(1_000_000, 0, 0), flowOf(900_000, 50_000, 50_000), 0.1},
		{flowOf(300_000, 300_000, 400_000), flowOf(400_000, 300_000, 300_000), 0.1},
		{flowOf(200_000, 200_000, 200_000, 200_000, 200_000, 0), flowOf(250_000, 250_000, 250_000, 250_000, 0, 0), 0.2},
	}
	for _, c := range cases {
		moved, first := 0, 0
		for b := range uint64(blocks) {
			hash := mix(b + 1)
			was := ForBlock(c.before, hash)
			is := ForBlock(c.after, hash)
			if was != is {
				moved++
			}
			if is == "place-0" {
				first++
			}
		}
		got := float64(moved) / blocks
		want := expectedBlocksMoved(c.before, c.after)
		t.Logf("share change %.2f moved %.4f of the blocks, expected %.4f", c.x, got, want)
		if math.Abs(got-want) > 0.005 {
			t.Errorf("moved %.4f of the blocks, expected %.4f", got, want)
		}
		if got < c.x-0.005 || got > 2*c.x/(1+c.x)+0.005 {
			t.Errorf("moved %.4f of the blocks for a share change of %.2f", got, c.x)
		}
		if share := float64(c.after.Shares[0].PPM) / plan.Whole; math.Abs(float64(first)/blocks-share) > 0.005 {
			t.Errorf("place-0 holds %.4f of the blocks, want %.4f", float64(first)/blocks, share)
		}
	}
}

func BenchmarkNext(b *testing.B) {
	p := New(nil, flowOf(250_000, 250_000, 250_000, 125_000, 125_000))
	b.ReportAllocs()
	for b.Loop() {
		p.Next()
	}
}

func BenchmarkForBlock(b *testing.B) {
	f := flowOf(250_000, 250_000, 250_000, 125_000, 125_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		ForBlock(f, 42)
	}
}
