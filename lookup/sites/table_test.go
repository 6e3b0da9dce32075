package sites

import (
	"fmt"
	"math"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

// flow returns shares that grow with the number of the site.
func flow(count int) *plan.Flow {
	f := &plan.Flow{Service: "service", Caller: "region-0"}
	sum := count * (count + 1) / 2
	for i := range count {
		ppm := uint32((i + 1) * plan.Whole / sum)
		f.Shares = append(f.Shares, plan.Share{Place: model.PlaceName(fmt.Sprintf("site-%03d", i)), PPM: ppm})
	}
	return f
}

func TestBlocksFollowShares(t *testing.T) {
	f := flow(6)
	table := New(f)
	got := make(map[model.PlaceName]float64)
	for bucket := range uint32(Buckets) {
		got[table.Site(bucket)] += 1.0 / Buckets
	}
	for _, share := range f.Shares {
		want := float64(share.PPM) / plan.Whole
		if math.Abs(got[share.Place]-want) > 0.02 {
			t.Errorf("%s has %.3f of the blocks, want %.3f", share.Place, got[share.Place], want)
		}
	}
}

// Blocks that change their site find cold caches. When one site loses its
// share, only its own blocks may move.
func TestOnlyBlocksOfADroppedSiteMove(t *testing.T) {
	before := flow(160)
	after := flow(160)
	dropped := after.Shares[80].Place
	after.Shares[80].PPM = 0
	old, next := New(before), New(after)
	for bucket := range uint32(Buckets) {
		from, to := old.Site(bucket), next.Site(bucket)
		if from != to && from != dropped {
			t.Fatalf("bucket %d moved from %s to %s", bucket, from, to)
		}
		if to == dropped {
			t.Fatalf("bucket %d is still at %s", bucket, dropped)
		}
	}
}

func BenchmarkNew(b *testing.B) {
	for _, count := range []int{10, 20, 40, 80, 160} {
		f := flow(count)
		b.Run(fmt.Sprintf("sites=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(f)
			}
		})
	}
}

// BenchmarkBlockToSite is the whole way from an address to its site among 160.
func BenchmarkBlockToSite(b *testing.B) {
	table := New(flow(160))
	for _, count := range []int{10_000, 50_000, 150_000, 330_000} {
		sample := blocktest.New(count, 6, 1)
		prefixes := blocks.Build(sample.Blocks, nil).Table()
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				block, _ := prefixes.Find(sample.Addresses[i])
				if table.Site(block.Hash) == "" {
					b.Fatal("no site")
				}
				if i++; i == count {
					i = 0
				}
			}
		})
	}
}
