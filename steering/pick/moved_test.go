package pick

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// blocksMoved returns the expected part of all blocks, 0 to 1, that ForBlock
// places elsewhere under next than under flow. It is at least the sum of the
// share increases x and at most 2x/(1+x); with two places it is x.
func blocksMoved(flow, next *plan.Flow) float64 {
	same := 0.0
	for _, s := range flow.Shares {
		after := shareOf(next, s.Place)
		if s.PPM == 0 || after == 0 {
			continue
		}
		same += 1 / rivals(flow, next, float64(s.PPM), after)
	}
	return max(0, 1-same)
}

// rivals sums, over all places, the larger of their weights relative to the
// chosen one before and after: a block stays with the place when its score is
// the least under both.
func rivals(flow, next *plan.Flow, before, after float64) float64 {
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
