// Package blocks maps client addresses to caller regions. A Table holds the
// prefixes of one set of blocks; accounts that declare the same set share it,
// and each keeps only the region of every block. Tables and views are
// immutable once built; a change builds others.
package blocks

import (
	"net/netip"
	"slices"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Block is the table's entry for one prefix.
type Block struct {
	// Ordinal numbers the prefixes of the set from 0.
	Ordinal uint32
	// Hash is a stable hash of the prefix, for choices made per block.
	Hash uint32
}

// Table is an immutable longest-prefix table: the blocks divided into ranges of
// addresses, found by binary search.
type Table struct {
	four   ranges[address4]
	octets *octetIndex
	six    ranges[address6]
	// hashes is indexed by Block.Ordinal.
	hashes []uint32
	// sum identifies the set of prefixes.
	sum setSum
}

// Find returns the entry of the longest prefix that holds the address.
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
		return t.four.at(t.octets.search(t.four.starts, newAddress4(addr)))
	case addr.Is6():
		return t.six.at(slices.BinarySearchFunc(t.six.starts, newAddress6(addr), compare6))
	default:
		return noBlock
	}
}

// Size returns the number of prefixes.
func (t *Table) Size() int { return len(t.hashes) }

// View is one account's regions over a table.
type View struct {
	table *Table
	names []model.RegionName
	// regions is indexed by Block.Ordinal and holds indexes into names.
	regions []uint16
}

// Table returns the table under the view.
func (v *View) Table() *Table { return v.table }

// Find returns the block that holds the address, and its region.
func (v *View) Find(addr netip.Addr) (Block, model.RegionName, bool) {
	block, ok := v.table.Find(addr)
	if !ok {
		return Block{}, "", false
	}
	return block, v.names[v.regions[block.Ordinal]], true
}

// Region returns the region of the address; it is false for an address in
// none of the blocks.
func (v *View) Region(addr netip.Addr) (model.RegionName, bool) {
	_, region, ok := v.Find(addr)
	return region, ok
}
