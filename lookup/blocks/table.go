// Package blocks maps client addresses to caller regions for many accounts by
// one shared table. A prefix that several accounts declare is stored once:
// its entry names a class, and each account has a small array from class to
// region. The table is immutable once built; a change builds another one.
package blocks

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Block is the table's entry for one prefix.
type Block struct {
	// Class numbers the combination of regions that the accounts give to the
	// prefix.
	Class uint32
	// Hash is a stable hash of the prefix, for choices made per block.
	Hash uint32
}

// Table is an immutable longest-prefix table over the blocks of all sources.
type Table struct {
	prefixes *bart.Table[Block]
	sources  []source
	classes  int
}

// source is one account's view: regions[class] indexes names; 0 is "none".
type source struct {
	names   []model.RegionName
	regions []uint16
}

// Find returns the entry of the longest prefix that holds the address.
func (t *Table) Find(addr netip.Addr) (Block, bool) {
	return t.prefixes.Lookup(addr.Unmap())
}

// RegionOf returns the region that a source gives to a class. It is false
// when none of the source's own prefixes holds the block.
func (t *Table) RegionOf(source int, class uint32) (model.RegionName, bool) {
	s := &t.sources[source]
	if int(class) >= len(s.regions) {
		return "", false
	}
	index := s.regions[class]
	if index == 0 {
		return "", false
	}
	return s.names[index], true
}

// Region returns the region in which a source places the address.
func (t *Table) Region(source int, addr netip.Addr) (model.RegionName, bool) {
	block, ok := t.Find(addr)
	if !ok {
		return "", false
	}
	return t.RegionOf(source, block.Class)
}

// Size returns the number of distinct prefixes.
func (t *Table) Size() int { return t.prefixes.Size() }

// Classes returns the number of distinct combinations of regions.
func (t *Table) Classes() int { return t.classes }
