package lookup

import (
	"fmt"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
	"github.com/yuccaroute/yuccaroute/membership"
)

const benchRegions = 6

// fleet returns entry VMs in 6 regions with 17 failure domains.
func fleet(count int) membership.List {
	list := vms(count)
	for i := range list.VMs {
		place := i % 17
		list.VMs[i].Place = model.PlaceName(fmt.Sprintf("place-%d", place))
		list.VMs[i].Region = model.RegionName(fmt.Sprintf("region-%d", place%benchRegions))
	}
	return list
}

func benchAccount(sample blocktest.Sample) *model.Account {
	a := &model.Account{Name: testAccount, Revision: 1, Callers: sample.Blocks}
	for i := range benchRegions {
		a.Regions = append(a.Regions, model.Region{Name: model.RegionName(fmt.Sprintf("region-%d", i))})
	}
	return a
}

// BenchmarkLookup measures a look-up among 330,000 blocks, by number of entry VMs.
func BenchmarkLookup(b *testing.B) {
	sample := blocktest.New(330_000, benchRegions, 1)
	for _, nodes := range []int{10, 50, 150, 300, 550} {
		l := New(Options{})
		l.SetAccount(benchAccount(sample))
		l.SetVMs(fleet(nodes))
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			var answer Answer
			i := 0
			for b.Loop() {
				l.Lookup(testAccount, sample.Addresses[i], &answer)
				if i++; i == len(sample.Addresses) {
					i = 0
				}
			}
		})
	}
}

// BenchmarkSetVMs measures an update of the VM list.
func BenchmarkSetVMs(b *testing.B) {
	for _, nodes := range []int{10, 50, 150, 300, 550} {
		l := New(Options{})
		list := fleet(nodes)
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.SetVMs(list)
			}
		})
	}
}

// BenchmarkSetAccount measures an account update with unchanged blocks, the
// common case.
func BenchmarkSetAccount(b *testing.B) {
	for _, size := range []int{10_000, 50_000, 150_000, 330_000} {
		sample := blocktest.New(size, benchRegions, 1)
		l := New(Options{})
		l.SetAccount(benchAccount(sample))
		changed := benchAccount(sample)
		changed.Callers = append([]model.CallerBlock(nil), sample.Blocks...)
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.SetAccount(changed)
			}
		})
	}
}
