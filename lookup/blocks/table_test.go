package blocks

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Accounts that share a table must keep their own regions for its blocks.
func TestSharedTableKeepsOwnRegions(t *testing.T) {
	block := netip.MustParsePrefix("10.1.0.0/16")
	other := netip.MustParsePrefix("10.2.0.0/16")
	first := Build([]model.CallerBlock{{Prefix: block, Region: "north"}, {Prefix: other, Region: "south"}}, nil)
	second := Build([]model.CallerBlock{{Prefix: other, Region: "south"}, {Prefix: block, Region: "west"}}, []*View{first})
	if first.Table() != second.Table() {
		t.Error("two accounts with the same prefixes do not share a table")
	}
	addr := netip.MustParseAddr("10.1.2.3")
	if region, _ := first.Region(addr); region != "north" {
		t.Errorf("first account: region %q, want north", region)
	}
	if region, _ := second.Region(addr); region != "west" {
		t.Errorf("second account: region %q, want west", region)
	}
	third := Build([]model.CallerBlock{{Prefix: block, Region: "north"}}, []*View{first, second})
	if region, ok := third.Region(netip.MustParseAddr("10.2.2.3")); ok {
		t.Errorf("third account has another's block in region %q", region)
	}
}

// TestTableMatchesLinearScan compares the table with a scan over random nested
// blocks of both families, up to the last address of each family.
func TestTableMatchesLinearScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var list []model.CallerBlock
	for range 1200 {
		list = append(list, randomBlock(random))
	}
	view := Build(list, nil)
	for range 50_000 {
		addr := randomAddr(random)
		want := scan(list, addr)
		if got, _ := view.Region(addr); got != want {
			t.Fatalf("%v: region %q, want %q", addr, got, want)
		}
	}
}

// randomAddr returns one of the last addresses of a family.
func randomAddr(random *rand.Rand) netip.Addr {
	low := [4]byte{0xfc | byte(random.IntN(4)), 0xfc | byte(random.IntN(4)), byte(random.IntN(256)), byte(random.IntN(256))}
	if random.IntN(2) == 0 {
		return netip.AddrFrom4(low)
	}
	bytes := [16]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	copy(bytes[12:], low[:])
	return netip.AddrFrom16(bytes)
}

func randomBlock(random *rand.Rand) model.CallerBlock {
	addr := randomAddr(random)
	prefix := netip.PrefixFrom(addr, addr.BitLen()-random.IntN(28)).Masked()
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
