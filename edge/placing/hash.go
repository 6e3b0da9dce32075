package placing

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// HashOf is the same on all VMs.
func HashOf(text string) uint64 { return xxhash.Sum64String(text) }

// keyBits of a target's hash name it between VMs. Of 3,000 targets one pair in four fleets
// has the same 24 bits; each of the two then counts as busy with the other's requests too.
const keyBits = 24

// TargetKey names a target, by the hash of its id, in the reports of VMs.
func TargetKey(hash uint64) uint32 { return uint32(hash >> (64 - keyBits)) }

// Rendezvous orders targets for a key, or VMs for a target, by the highest random weight.
func Rendezvous(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// WeightedRank orders a and other things for a key, the lowest first, so that each is first
// for a part of all keys in proportion to its weight: weighted rendezvous hashing. When a
// weight changes as few keys as possible get another first one.
func WeightedRank(key, a uint64, weight float64) float64 {
	u := (float64(Rendezvous(key, a)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}
