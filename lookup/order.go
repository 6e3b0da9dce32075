package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// regionOrder maps each caller region to the other regions, nearest first by
// one-way delay.
type regionOrder map[model.RegionName][]model.RegionName

// newRegionOrder sorts the regions of an account by delay, then by name. Regions
// without a configured delay come last.
func newRegionOrder(account *model.Account) regionOrder {
	order := make(regionOrder, len(account.Regions))
	for i := range account.Regions {
		from := &account.Regions[i]
		var others []model.RegionName
		for j := range account.Regions {
			if j != i {
				others = append(others, account.Regions[j].Name)
			}
		}
		slices.SortFunc(others, func(a, b model.RegionName) int {
			return cmp.Or(cmp.Compare(delayTo(from, a), delayTo(from, b)), cmp.Compare(a, b))
		})
		order[from.Name] = others
	}
	return order
}

func delayTo(from *model.Region, to model.RegionName) time.Duration {
	for _, delay := range from.Delays {
		if delay.To == to {
			return delay.OneWay
		}
	}
	return time.Duration(1<<63 - 1)
}
