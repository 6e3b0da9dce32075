package blocks_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

// sizes ends with the target's size.
var sizes = []int{10_000, 50_000, 150_000, 330_000}

const regions = 6

func BenchmarkRegion(b *testing.B) {
	for _, size := range sizes {
		sample := blocktest.New(size, regions, 1)
		table := blocks.Build([][]model.CallerBlock{sample.Blocks})
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Region(0, sample.Addresses[i])
				if i++; i == size {
					i = 0
				}
			}
		})
	}
}

// BenchmarkBuild also reports the memory that the table keeps (B-kept), which
// is not the garbage that B/op includes.
func BenchmarkBuild(b *testing.B) {
	for _, size := range sizes {
		sources := [][]model.CallerBlock{blocktest.New(size, regions, 1).Blocks}
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			before := heap()
			table := blocks.Build(sources)
			kept := heap() - before
			for b.Loop() {
				blocks.Build(sources)
			}
			b.ReportMetric(float64(kept), "B-kept")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkBuildShared builds the table for accounts that share all blocks.
func BenchmarkBuildShared(b *testing.B) {
	sample := blocktest.New(50_000, regions, 1)
	for _, accounts := range []int{1, 2, 4, 8} {
		sources := make([][]model.CallerBlock, accounts)
		for i := range sources {
			sources[i] = sample.Blocks
		}
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			before := heap()
			table := blocks.Build(sources)
			kept := heap() - before
			for b.Loop() {
				blocks.Build(sources)
			}
			b.ReportMetric(float64(kept), "B-kept")
			runtime.KeepAlive(table)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
