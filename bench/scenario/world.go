package scenario

import (
	"fmt"
	"net/netip"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
	"github.com/yuccaroute/yuccaroute/membership"
)

const accountName model.AccountName = "bench"

func regionName(i int) model.RegionName { return model.RegionName(fmt.Sprintf("region-%d", i)) }

// fleet returns entry VMs spread over the target's regions and failure domains.
func fleet(count int) membership.List {
	list := membership.List{Sequence: 1}
	for i := range count {
		place := i % targetPlaces
		list.VMs = append(list.VMs, membership.VM{
			ID:      fmt.Sprintf("entry-%04d", i),
			Region:  regionName(place % targetRegions),
			Place:   model.PlaceName(fmt.Sprintf("place-%02d", place)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8080),
		})
	}
	return list
}

// account returns an account with the sample's blocks.
func account(sample blocktest.Sample) *model.Account {
	a := &model.Account{Name: accountName, Revision: 1, Callers: sample.Blocks}
	for i := range targetRegions {
		a.Regions = append(a.Regions, model.Region{Name: regionName(i)})
	}
	return a
}

// newLookup returns a look-up with the given blocks and nodes.
func newLookup(sample blocktest.Sample, nodes int) *lookup.Lookup {
	l := lookup.New(lookup.Options{VM: "entry-0000", Region: regionName(0), Place: "place-00"})
	l.SetAccount(account(sample))
	l.SetVMs(fleet(nodes))
	return l
}
