package placing

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// HashOf returns a hash that is identical on all VMs.
func HashOf(text string) uint64 { return xxhash.Sum64String(text) }

// keyBits is the length of the hash prefix that identifies a target in peer reports. Targets
// whose prefixes collide share their remote in-flight count.
const keyBits = 24

// TargetKey derives the key of a target in peer reports from the hash of its ID.
func TargetKey(hash uint64) uint32 { return uint32(hash >> (64 - keyBits)) }

// Rendezvous returns the score of a pair in rendezvous (highest random weight) hashing, such
// as a key and a target or a VM and a target.
func Rendezvous(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// WeightedRank returns the rank of candidate a for a key in weighted rendezvous hashing. The
// candidate with the lowest rank is selected; each is selected for a fraction of all keys
// proportional to its weight, and a weight change moves as few keys as possible.
func WeightedRank(key, a uint64, weight float64) float64 {
	u := (float64(Rendezvous(key, a)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}
