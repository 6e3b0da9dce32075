package lookup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer.
const (
	// maxPerPlace entry VMs of one place are offered, so that callers have
	// others to go to when some of them have ended unnoticed.
	maxPerPlace = 3
	// maxPerRegion entry VMs of one region are offered.
	maxPerRegion = 6
	// maxOtherRegions more regions are offered, with maxPerOther VMs each, for
	// callers whose region has failed.
	maxOtherRegions = 2
	maxPerOther     = 2
	// maxPlaces of one region take part; further places are not offered.
	maxPlaces = 16
)

// choice is a VM with its score for one caller.
type choice struct {
	score uint64
	vm    *EntryVM
}

// placeChoice is the best VMs of one place, best first.
type placeChoice struct {
	best  [maxPerPlace]choice
	count int
}

// score is the rendezvous score of a VM for a caller: a mix in which every
// bit of both inputs reaches every bit of the result (the finalizer of
// splitmix64). A caller's order among the VMs that stay does not change when
// another VM comes or goes, so only the callers of that VM move.
func score(caller, seed uint64) uint64 {
	x := caller ^ seed
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// callerHash spreads callers by their whole address: blocks can be wide, and
// one block's callers may be too many for one entry VM.
func callerHash(addr netip.Addr) uint64 {
	bytes := addr.As16()
	high := binary.LittleEndian.Uint64(bytes[:8])
	low := binary.LittleEndian.Uint64(bytes[8:])
	if high == 0 {
		return score(low, 0)
	}
	return xxhash.Sum64(bytes[:])
}

func (p *placeEntries) choose(caller uint64, into *placeChoice) {
	into.count = 0
	for i, seed := range p.seeds {
		value := score(caller, seed)
		if into.count == maxPerPlace && value <= into.best[maxPerPlace-1].score {
			continue
		}
		into.offer(choice{value, &p.vms[i]})
	}
}

// offer enters a choice that is among the highest, best first.
func (p *placeChoice) offer(c choice) {
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

// appendRegion appends up to limit VMs of a region. The first is the best of
// all, so that load is even over VMs whatever their places; then the places
// take turns, so that the second try leaves the first one's failure domain.
func appendRegion(to []EntryVM, region *regionEntries, caller uint64, limit int) []EntryVM {
	var places [maxPlaces]placeChoice
	count := min(len(region.places), maxPlaces)
	for i := range count {
		region.places[i].choose(caller, &places[i])
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

// sortByBest is an insertion sort: regions have few places.
func sortByBest(places []placeChoice) {
	for i := 1; i < len(places); i++ {
		for j := i; j > 0 && places[j].best[0].score > places[j-1].best[0].score; j-- {
			places[j], places[j-1] = places[j-1], places[j]
		}
	}
}
