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
// without a table. A change of shares that adds up to x in increases moves at
// least x and at most 2x/(1+x) of the blocks; between two places it is x.
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
