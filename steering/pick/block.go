package pick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// ForBlock returns the place of a block of client addresses by weighted
// rendezvous hashing, or "" when the flow has no share anywhere. The result
// depends on the shares and the hash only, so that all nodes agree on it
// without a table. A change of shares moves the part of the blocks that
// BlocksMoved tells.
func ForBlock(flow *plan.Flow, blockHash uint64) model.PlaceName {
	best := math.Inf(1)
	chosen := model.PlaceName("")
	if flow == nil {
		return chosen
	}
	for i := range flow.Shares {
		s := &flow.Shares[i]
		if s.PPM == 0 {
			continue
		}
		score := exponential(mix(blockHash^xxhash.Sum64String(string(s.Place)))) / float64(s.PPM)
		if score < best {
			best = score
			chosen = s.Place
		}
	}
	return chosen
}

// BlocksMoved returns the expected part of all blocks, 0 to 1, that ForBlock
// places elsewhere under next than under flow. It is at least the sum of the
// share increases x and at most 2x/(1+x); with two places it is x.
func BlocksMoved(flow, next *plan.Flow) float64 {
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

// exponential turns uniform bits into an exponentially distributed number.
func exponential(bits uint64) float64 {
	// 53 bits, moved by half a step so that the logarithm is finite.
	uniform := (float64(bits>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}

// mix is the finaliser of splitmix64: each input bit changes about half of
// the output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	x ^= x >> 31
	return x
}
