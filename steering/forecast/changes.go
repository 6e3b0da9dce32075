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
		was := make(map[model.PlaceName]uint32)
		if old := oldFlow(before, f); old != nil {
			for _, s := range old.Shares {
				was[s.Place] = s.PPM
			}
		}
		for _, s := range f.Shares {
			all = appendChange(all, f, s.Place, was[s.Place], s.PPM)
			delete(was, s.Place)
		}
		all = appendGone(all, f, oldFlow(before, f), was)
	}
	return all
}

func oldFlow(before *plan.Plan, f *plan.Flow) *plan.Flow {
	if before == nil {
		return nil
	}
	return before.Flow(f.Service, f.Caller)
}

// appendGone adds the places that have no share any more, in their old order.
func appendGone(all []Change, f, old *plan.Flow, was map[model.PlaceName]uint32) []Change {
	if old == nil {
		return all
	}
	for _, s := range old.Shares {
		if ppm, left := was[s.Place]; left {
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
