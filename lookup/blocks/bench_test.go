package blocks_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccaroute/yuccaroute/lookup/blocks"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

var sizes = []int{10_000, 50_000, 150_000, 330_000}

const regions = 6

func BenchmarkRegion(b *testing.B) {
	for _, size := range sizes {
		sample := blocktest.New(size, regions, 1)
		view := blocks.Build(sample.Blocks, nil)
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				view.Region(sample.Addresses[i])
				if i++; i == size {
					i = 0
				}
			}
		})
	}
}

// BenchmarkBuild also reports the memory retained by the view (B-kept), without
// the garbage that B/op includes.
func BenchmarkBuild(b *testing.B) {
	for _, size := range sizes {
		list := blocktest.New(size, regions, 1).Blocks
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			before := heap()
			view := blocks.Build(list, nil)
			kept := heap() - before
			for b.Loop() {
				blocks.Build(list, nil)
			}
			b.ReportMetric(float64(kept), "B-kept")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkBuildMany builds the views of several accounts, with the same or with
// different blocks.
func BenchmarkBuildMany(b *testing.B) {
	const each = 12_222
	for _, shared := range []bool{true, false} {
		for _, accounts := range []int{1, 3, 9, 27} {
			b.Run(fmt.Sprintf("shared=%t/accounts=%d", shared, accounts), func(b *testing.B) {
				lists := make([]blocktest.Sample, accounts)
				for i := range lists {
					seed := uint64(i)
					if shared {
						seed = 0
					}
					lists[i] = blocktest.New(each, regions, seed)
				}
				before := heap()
				views := buildAll(lists)
				kept := heap() - before
				for b.Loop() {
					buildAll(lists)
				}
				b.ReportMetric(float64(kept), "B-kept")
				runtime.KeepAlive(views)
			})
		}
	}
}

func buildAll(lists []blocktest.Sample) []*blocks.View {
	var views []*blocks.View
	for i := range lists {
		views = append(views, blocks.Build(lists[i].Blocks, views))
	}
	return views
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
