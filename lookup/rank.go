package lookup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Limits of an answer.
const (
	// maxPerPlace is above 1 so that callers have alternatives when a VM has
	// terminated but is still listed.
	maxPerPlace  = 3
	maxPerRegion = 6
	// maxOtherRegions and maxPerOther bound the VMs of other regions, which
	// callers use when their own region has failed.
	maxOtherRegions = 2
	maxPerOther     = 2
	// maxPlaces bounds the places of a region; further places are ignored.
	maxPlaces = 16
)

// candidate is a VM and its score for one caller.
type candidate struct {
	score uint64
	vm    *EntryVM
}

// placeCandidates holds the best VMs of one place, best first.
type placeCandidates struct {
	best  [maxPerPlace]candidate
	count int
}

// score returns the rendezvous hash of a caller and a VM, mixed with the finalizer
// of splitmix64. When a VM is added or removed, only the callers of that VM move.
func score(caller, seed uint64) uint64 {
	x := caller ^ seed
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// callerHash hashes the whole address, not the block: a wide block may have too
// many callers for one entry VM.
func callerHash(addr netip.Addr) uint64 {
	bytes := addr.As16()
	high := binary.LittleEndian.Uint64(bytes[:8])
	low := binary.LittleEndian.Uint64(bytes[8:])
	if high == 0 {
		return score(low, 0)
	}
	return xxhash.Sum64(bytes[:])
}

func (p *placeEntries) topCandidates(caller uint64, top *placeCandidates) {
	top.count = 0
	for i, seed := range p.seeds {
		value := score(caller, seed)
		if top.count == maxPerPlace && value <= top.best[maxPerPlace-1].score {
			continue
		}
		top.insert(candidate{value, &p.vms[i]})
	}
}

// insert adds a candidate in order of score. If the list is full, the candidate
// replaces the lowest one and must have a higher score.
func (p *placeCandidates) insert(c candidate) {
	at := p.count
	if at == maxPerPlace {
		at--
	} else {
		p.count++
	}
	for at > 0 && p.best[at-1].score < c.score {
		p.best[at] = p.best[at-1]
		at--
	}
	p.best[at] = c
}

// appendRegion appends up to limit VMs of a region, best first but alternating
// between places: load is balanced over all VMs of the region, and a retry goes
// to another failure domain.
func appendRegion(to []EntryVM, region *regionEntries, caller uint64, limit int) []EntryVM {
	var places [maxPlaces]placeCandidates
	count := min(len(region.places), maxPlaces)
	for i := range count {
		region.places[i].topCandidates(caller, &places[i])
	}
	sortByBest(places[:count])
	for turn := range maxPerPlace {
		for i := range count {
			if limit == 0 {
				return to
			}
			if turn >= places[i].count {
				continue
			}
			to = append(to, *places[i].best[turn].vm)
			limit--
		}
	}
	return to
}

// sortByBest uses insertion sort, since regions have few places.
func sortByBest(places []placeCandidates) {
	for i := 1; i < len(places); i++ {
		for j := i; j > 0 && places[j].best[0].score > places[j-1].best[0].score; j-- {
			places[j], places[j-1] = places[j-1], places[j]
		}
	}
}
