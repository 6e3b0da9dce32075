package blocks

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
)

// noBlock is the ordinal of a range outside all blocks.
const noBlock = math.MaxUint32

// rangeTable maps the addresses of one family to blocks. A range extends from its
// start to the start of the next one; addresses before the first are in no block.
type rangeTable[A any] struct {
	starts []A
	// ordinals holds the innermost block of each range, or noBlock.
	ordinals []uint32
}

// address4 and address6 contain no pointers, unlike netip.Addr, so the garbage
// collector does not scan the table.
type (
	address4 = uint32
	address6 struct{ high, low uint64 }
)

func newAddress4(a netip.Addr) address4 {
	bytes := a.As4()
	return binary.BigEndian.Uint32(bytes[:])
}

func newAddress6(a netip.Addr) address6 {
	bytes := a.As16()
	return address6{binary.BigEndian.Uint64(bytes[:8]), binary.BigEndian.Uint64(bytes[8:])}
}

func compare6(a, b address6) int {
	if c := cmp.Compare(a.high, b.high); c != 0 {
		return c
	}
	return cmp.Compare(a.low, b.low)
}

// ordinalAt returns the ordinal for the result of a binary search: the position of
// an address among the starts, and whether it is itself a start.
func (r *rangeTable[A]) ordinalAt(position int, isStart bool) uint32 {
	if !isStart {
		position--
	}
	if position < 0 {
		return noBlock
	}
	return r.ordinals[position]
}

// add appends a range, or replaces the last one if that has the same start.
func (r *rangeTable[A]) add(start A, ordinal uint32, compare func(A, A) int) {
	if last := len(r.starts) - 1; last >= 0 && compare(r.starts[last], start) == 0 {
		r.ordinals[last] = ordinal
		return
	}
	r.starts = append(r.starts, start)
	r.ordinals = append(r.ordinals, ordinal)
}

// reserve allocates capacity for a number of blocks. Each block starts at most two
// ranges: its own and the one after it.
func (r *rangeTable[A]) reserve(blocks int) {
	r.starts = make([]A, 0, 2*blocks)
	r.ordinals = make([]uint32, 0, 2*blocks)
}

// trim releases unused capacity, which is left when adjacent blocks have no range
// between them.
func (r *rangeTable[A]) trim() {
	r.starts = slices.Clone(r.starts)
	r.ordinals = slices.Clone(r.ordinals)
}

// octets is the number of values of the first octet of an IPv4 address.
const octets = 256

// octetShift shifts the first octet of an address to the low byte.
const octetShift = 24

// octetIndex narrows the search among IPv4 ranges: for each first octet it holds
// the position of the first range that starts at or after it.
type octetIndex [octets + 1]uint32

func newOctetIndex(starts []address4) *octetIndex {
	var index octetIndex
	for octet := range octets {
		position, _ := slices.BinarySearch(starts, address4(octet)<<octetShift)
		index[octet] = uint32(position)
	}
	index[octets] = uint32(len(starts))
	return &index
}

// search works like slices.BinarySearch on the starts that the index was built
// from.
func (x *octetIndex) search(starts []address4, address address4) (position int, isStart bool) {
	octet := address >> octetShift
	from, to := x[octet], x[octet+1]
	position, isStart = slices.BinarySearch(starts[from:to], address)
	return int(from) + position, isStart
}

// rangeBuilder converts nested blocks, sorted by address and then widest first, to
// ranges that do not overlap.
type rangeBuilder struct {
	ipv4 rangeTable[address4]
	ipv6 rangeTable[address6]
	// open is the stack of blocks that contain the current address, the
	// innermost last.
	open []openBlock
}

// openBlock is a block whose last address has not been passed.
type openBlock struct {
	last    netip.Addr
	ordinal uint32
}

func newRangeBuilder(prefixes []netip.Prefix) *rangeBuilder {
	ipv4 := 0
	for _, prefix := range prefixes {
		if prefix.Addr().Is4() {
			ipv4++
		}
	}
	b := &rangeBuilder{}
	b.ipv4.reserve(ipv4)
	b.ipv6.reserve(len(prefixes) - ipv4)
	return b
}

func (b *rangeBuilder) add(prefix netip.Prefix, ordinal uint32) {
	first := prefix.Addr()
	for len(b.open) > 0 && b.open[len(b.open)-1].last.Less(first) {
		b.closeInnermost()
	}
	b.startRange(first, ordinal)
	b.open = append(b.open, openBlock{lastAddress(prefix), ordinal})
}

// finish closes all open blocks. No block may be added afterwards.
func (b *rangeBuilder) finish() {
	for len(b.open) > 0 {
		b.closeInnermost()
	}
	b.ipv4.trim()
	b.ipv6.trim()
}

// closeInnermost ends the innermost open block and resumes the enclosing one after
// it.
func (b *rangeBuilder) closeInnermost() {
	inner := len(b.open) - 1
	next := b.open[inner].last.Next()
	b.open = b.open[:inner]
	if !next.IsValid() {
		return
	}
	outer := uint32(noBlock)
	if inner > 0 {
		outer = b.open[inner-1].ordinal
	}
	b.startRange(next, outer)
}

func (b *rangeBuilder) startRange(start netip.Addr, ordinal uint32) {
	if start.Is4() {
		b.ipv4.add(newAddress4(start), ordinal, cmp.Compare[address4])
		return
	}
	b.ipv6.add(newAddress6(start), ordinal, compare6)
}

// lastAddress returns the last address of a prefix.
func lastAddress(prefix netip.Prefix) netip.Addr {
	first := prefix.Addr()
	bytes := first.As16()
	const bits = 8
	for i := len(bytes)*bits - first.BitLen() + prefix.Bits(); i < len(bytes)*bits; i++ {
		bytes[i/bits] |= 1 << (bits - 1 - i%bits)
	}
	last := netip.AddrFrom16(bytes)
	if first.Is4() {
		return last.Unmap()
	}
	return last
}
