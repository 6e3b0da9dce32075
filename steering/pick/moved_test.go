package pick

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// expectedBlocksMoved returns the expected fraction of blocks that ForBlock maps to a
// different place under next than under flow.
func expectedBlocksMoved(flow, next *plan.Flow) float64 {
	same := 0.0
	for _, s := range flow.Shares {
		after := shareOf(next, s.Place)
		if s.PPM == 0 || after == 0 {
			continue
		}
		same += 1 / relativeWeights(flow, next, float64(s.PPM), after)
	}
	return max(0, 1-same)
}

// relativeWeights sums, over all places, the larger of the weights relative to the chosen
// place before and after. A block stays only when the chosen place has the lowest
// score under both plans.
func relativeWeights(flow, next *plan.Flow, before, after float64) float64 {
	sum := 0.0
	for _, s := range flow.Shares {
		if s.PPM == 0 {
			continue
		}
		sum += max(float64(s.PPM)/before, shareOf(next, s.Place)/after)
	}
	for _, s := range next.Shares {
		if shareOf(flow, s.Place) == 0 {
			sum += float64(s.PPM) / after
		}
	}
	return sum
}

func shareOf(flow *plan.Flow, place model.PlaceName) float64 {
	for i := range flow.Shares {
		if flow.Shares[i].Place == place {
			return float64(flow.Shares[i].PPM)
		}
	}
	return 0
}
