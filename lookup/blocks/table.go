// Package blocks maps client addresses to caller regions. A Table holds the
// prefixes of one set of blocks and is shared by the accounts that declare the
// same set; a View adds the regions of one account. Tables and views are
// immutable.
package blocks

import (
	"net/netip"
	"slices"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Block is the table's entry for one prefix.
type Block struct {
	// Ordinal is the index of the prefix in the sorted set.
	Ordinal uint32
	// Hash is a stable hash of the prefix, for decisions per block.
	Hash uint32
}

// Table is an immutable longest-prefix-match table. The blocks are flattened to
// address ranges, which are found by binary search.
type Table struct {
	ipv4   rangeTable[address4]
	octets *octetIndex
	ipv6   rangeTable[address6]
	// hashes is indexed by Block.Ordinal.
	hashes []uint32
	// digest identifies the set of prefixes.
	digest setDigest
}

// Find returns the entry of the longest prefix that contains the address.
func (t *Table) Find(addr netip.Addr) (Block, bool) {
	ordinal := t.ordinal(addr.Unmap())
	if ordinal == noBlock {
		return Block{}, false
	}
	return Block{Ordinal: ordinal, Hash: t.hashes[ordinal]}, true
}

func (t *Table) ordinal(addr netip.Addr) uint32 {
	switch {
	case addr.Is4():
		return t.ipv4.ordinalAt(t.octets.search(t.ipv4.starts, newAddress4(addr)))
	case addr.Is6():
		return t.ipv6.ordinalAt(slices.BinarySearchFunc(t.ipv6.starts, newAddress6(addr), compare6))
	default:
		return noBlock
	}
}

// Size returns the number of prefixes.
func (t *Table) Size() int { return len(t.hashes) }

// View adds the regions of one account to a table.
type View struct {
	table *Table
	names []model.RegionName
	// regions is indexed by Block.Ordinal and holds indexes into names.
	regions []uint16
}

// Table returns the underlying table.
func (v *View) Table() *Table { return v.table }

// Find returns the innermost block that contains the address, and its region.
func (v *View) Find(addr netip.Addr) (Block, model.RegionName, bool) {
	block, ok := v.table.Find(addr)
	if !ok {
		return Block{}, "", false
	}
	return block, v.names[v.regions[block.Ordinal]], true
}

// Region returns the region of the address. It reports false for an address in
// no block.
func (v *View) Region(addr netip.Addr) (model.RegionName, bool) {
	_, region, ok := v.Find(addr)
	return region, ok
}
