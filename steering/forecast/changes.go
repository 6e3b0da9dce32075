package forecast

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// changes lists the shares that differ between two plans.
func changes(before, after *plan.Plan) []Change {
	var all []Change
	for i := range after.Flows {
		f := &after.Flows[i]
		oldShares := make(map[model.PlaceName]uint32)
		if old := oldFlow(before, f); old != nil {
			for _, s := range old.Shares {
				oldShares[s.Place] = s.PPM
			}
		}
		for _, s := range f.Shares {
			all = appendChange(all, f, s.Place, oldShares[s.Place], s.PPM)
			delete(oldShares, s.Place)
		}
		all = appendRemoved(all, f, oldFlow(before, f), oldShares)
	}
	return all
}

func oldFlow(before *plan.Plan, f *plan.Flow) *plan.Flow {
	if before == nil {
		return nil
	}
	return before.Flow(f.Service, f.Caller)
}

// appendRemoved appends the places that lost their share, in their old order.
func appendRemoved(all []Change, f, old *plan.Flow, oldShares map[model.PlaceName]uint32) []Change {
	if old == nil {
		return all
	}
	for _, s := range old.Shares {
		if ppm, removed := oldShares[s.Place]; removed {
			all = appendChange(all, f, s.Place, ppm, 0)
		}
	}
	return all
}

func appendChange(all []Change, f *plan.Flow, place model.PlaceName, before, after uint32) []Change {
	if before == after {
		return all
	}
	return append(all, Change{
		Service: f.Service,
		Caller:  f.Caller,
		Place:   place,
		Before:  float64(before) * 100 / plan.Whole,
		After:   float64(after) * 100 / plan.Whole,
	})
}
