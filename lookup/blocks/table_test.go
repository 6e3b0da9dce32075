package blocks

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// A dealer in 10.1.2.0/24 is told the wrong region. First account A declares
// the wide block 10.0.0.0/8 only, then account B declares 10.1.0.0/16. The
// shared table finds B's narrower prefix for A's callers too; without
// inheritance A would have no region there.
func TestNarrowBlockOfAnotherAccountKeepsWideOne(t *testing.T) {
	table := Build([][]model.CallerBlock{
		{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "wide"}},
		{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "narrow"}},
	})
	addr := netip.MustParseAddr("10.1.2.3")
	if region, _ := table.Region(0, addr); region != "wide" {
		t.Errorf("account A: region %q, want wide", region)
	}
	if region, _ := table.Region(1, addr); region != "narrow" {
		t.Errorf("account B: region %q, want narrow", region)
	}
	if region, ok := table.Region(1, netip.MustParseAddr("10.2.0.1")); ok {
		t.Errorf("account B outside its block: region %q, want none", region)
	}
}

// TestAgainstScan compares the table with a scan over all blocks, for random
// nested blocks of three accounts.
func TestAgainstScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sources := make([][]model.CallerBlock, 3)
	for i := range sources {
		for range 400 {
			sources[i] = append(sources[i], randomBlock(random))
		}
	}
	table := Build(sources)
	for range 20_000 {
		addr := randomAddr(random)
		for i, list := range sources {
			want := scan(list, addr)
			if got, _ := table.Region(i, addr); got != want {
				t.Fatalf("source %d, %v: region %q, want %q", i, addr, got, want)
			}
		}
	}
}

func randomAddr(random *rand.Rand) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(random.IntN(4)), byte(random.IntN(256)), byte(random.IntN(256))})
}

func randomBlock(random *rand.Rand) model.CallerBlock {
	prefix := netip.PrefixFrom(randomAddr(random), 8+random.IntN(23)).Masked()
	return model.CallerBlock{Prefix: prefix, Region: model.RegionName(fmt.Sprintf("r%d", random.IntN(5)))}
}

func scan(list []model.CallerBlock, addr netip.Addr) model.RegionName {
	best := -1
	region := model.RegionName("")
	for _, block := range list {
		if block.Prefix.Contains(addr) && block.Prefix.Bits() >= best {
			best = block.Prefix.Bits()
			region = block.Region
		}
	}
	return region
}
