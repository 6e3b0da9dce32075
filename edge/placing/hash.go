package placing

import "github.com/cespare/xxhash/v2"

// HashOf is the same on all VMs.
func HashOf(text string) uint64 { return xxhash.Sum64String(text) }

// draw orders targets for an object, or VMs for a target: rendezvous hashing.
func draw(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
