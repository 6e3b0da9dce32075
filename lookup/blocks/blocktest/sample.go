// Package blocktest generates blocks of client addresses for tests and
// benchmarks.
package blocktest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Sample is a set of blocks with an address in each.
type Sample struct {
	Blocks    []model.CallerBlock
	Addresses []netip.Addr
}

// ipv6Share is the percentage of IPv6 blocks.
const ipv6Share = 15

// Prefix lengths are drawn from these lists, which approximate a public routing
// table: mostly the longest routable prefixes, few wide ones.
var (
	lengths4 = []int{24, 24, 24, 24, 24, 24, 23, 22, 22, 21, 20, 19, 18, 16}
	lengths6 = []int{48, 48, 48, 48, 44, 40, 36, 32, 32, 29}
)

// New returns count distinct blocks, assigned to the regions round-robin. The
// result depends only on the arguments.
func New(count, regions int, seed uint64) Sample {
	random := rand.New(rand.NewPCG(seed, 0))
	seen := make(map[netip.Prefix]bool, count)
	s := Sample{
		Blocks:    make([]model.CallerBlock, 0, count),
		Addresses: make([]netip.Addr, 0, count),
	}
	names := regionNames(regions)
	for len(s.Blocks) < count {
		address := randomAddress(random)
		prefix := randomPrefix(random, address)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		s.Blocks = append(s.Blocks, model.CallerBlock{Prefix: prefix, Region: names[len(s.Blocks)%regions]})
		s.Addresses = append(s.Addresses, address)
	}
	random.Shuffle(count, func(i, j int) { s.Addresses[i], s.Addresses[j] = s.Addresses[j], s.Addresses[i] })
	return s
}

func regionNames(count int) []model.RegionName {
	names := make([]model.RegionName, count)
	for i := range names {
		names[i] = model.RegionName(fmt.Sprintf("region-%d", i))
	}
	return names
}

func randomAddress(random *rand.Rand) netip.Addr {
	if random.IntN(100) >= ipv6Share {
		bits := random.Uint32()
		return netip.AddrFrom4([4]byte{byte(1 + bits>>24%223), byte(bits >> 16), byte(bits >> 8), byte(bits)})
	}
	// 2000::/16 to 2aff::/16, the allocated unicast space.
	bytes := [16]byte{0: 0x20 + byte(random.IntN(11)), 1: byte(random.IntN(16))}
	for i := 2; i < len(bytes); i++ {
		bytes[i] = byte(random.Uint32())
	}
	return netip.AddrFrom16(bytes)
}

func randomPrefix(random *rand.Rand, address netip.Addr) netip.Prefix {
	lengths := lengths6
	if address.Is4() {
		lengths = lengths4
	}
	return netip.PrefixFrom(address, lengths[random.IntN(len(lengths))]).Masked()
}
