package pick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// ForBlock returns the place of a block of client addresses by weighted
// rendezvous hashing, or "" when the flow has no shares. The result depends only
// on the shares and the hash, so all nodes agree without a shared table. When
// share increases add up to x, between x and 2x/(1+x) of the blocks move; with
// two places it is exactly x.
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

// exponential maps uniform random bits to an exponentially distributed value.
func exponential(bits uint64) float64 {
	// The half-step offset keeps the argument above 0, so the logarithm is finite.
	uniform := (float64(bits>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}

// mix is the finalizer of splitmix64: flipping one input bit flips about half of
// the output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	x ^= x >> 31
	return x
}
