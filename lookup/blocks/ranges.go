package blocks

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
)

// noBlock is the ordinal of a range that is in no block.
const noBlock = math.MaxUint32

// ranges divides the addresses of one family. A range goes from its start up to
// the next one's; addresses before the first are in no block.
type ranges[A any] struct {
	starts []A
	// ordinals holds the innermost block of each range, or noBlock.
	ordinals []uint32
}

// address4 and address6 hold no pointer, unlike netip.Addr: the collector does
// not look into the table.
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

// at returns the ordinal for a search's result: the position of an address
// among the starts, and whether it is itself one.
func (r *ranges[A]) at(position int, isStart bool) uint32 {
	if !isStart {
		position--
	}
	if position < 0 {
		return noBlock
	}
	return r.ordinals[position]
}

// add begins a range. One that begins where the last one does replaces it.
func (r *ranges[A]) add(start A, ordinal uint32, compare func(A, A) int) {
	if last := len(r.starts) - 1; last >= 0 && compare(r.starts[last], start) == 0 {
		r.ordinals[last] = ordinal
		return
	}
	r.starts = append(r.starts, start)
	r.ordinals = append(r.ordinals, ordinal)
}

// reserve makes room for the ranges of a number of blocks. Each begins at most
// two: its own and the one behind it.
func (r *ranges[A]) reserve(blocks int) {
	r.starts = make([]A, 0, 2*blocks)
	r.ordinals = make([]uint32, 0, 2*blocks)
}

// trim gives back the room that was not needed: blocks that adjoin each other
// have no range between them.
func (r *ranges[A]) trim() {
	r.starts = slices.Clone(r.starts)
	r.ordinals = slices.Clone(r.ordinals)
}

// octets is how many first octets an IPv4 address can have.
const octets = 256

// octetShift moves the first octet of an address to the lowest place.
const octetShift = 24

// octetIndex shortens the search among IPv4 ranges: it holds for each first octet
// the position of the first range that starts in it or behind.
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

// search is slices.BinarySearch of the starts that the index was made from.
func (x *octetIndex) search(starts []address4, address address4) (position int, isStart bool) {
	octet := address >> octetShift
	from, to := x[octet], x[octet+1]
	position, isStart = slices.BinarySearch(starts[from:to], address)
	return int(from) + position, isStart
}

// divider turns nested blocks, sorted by address and then the widest first, into
// ranges that do not overlap.
type divider struct {
	four ranges[address4]
	six  ranges[address6]
	// open holds the blocks around the present address, the innermost last.
	open []openBlock
}

// openBlock is a block whose last address is not reached yet.
type openBlock struct {
	last    netip.Addr
	ordinal uint32
}

func newDivider(prefixes []netip.Prefix) *divider {
	four := 0
	for _, prefix := range prefixes {
		if prefix.Addr().Is4() {
			four++
		}
	}
	d := &divider{}
	d.four.reserve(four)
	d.six.reserve(len(prefixes) - four)
	return d
}

func (d *divider) add(prefix netip.Prefix, ordinal uint32) {
	first := prefix.Addr()
	for len(d.open) > 0 && d.open[len(d.open)-1].last.Less(first) {
		d.closeInnermost()
	}
	d.begin(first, ordinal)
	d.open = append(d.open, openBlock{lastAddress(prefix), ordinal})
}

// finish ends all blocks; nothing can be added any more.
func (d *divider) finish() {
	for len(d.open) > 0 {
		d.closeInnermost()
	}
	d.four.trim()
	d.six.trim()
}

// closeInnermost ends a block; the one around it goes on behind it.
func (d *divider) closeInnermost() {
	inner := len(d.open) - 1
	next := d.open[inner].last.Next()
	d.open = d.open[:inner]
	if !next.IsValid() {
		return
	}
	outer := uint32(noBlock)
	if inner > 0 {
		outer = d.open[inner-1].ordinal
	}
	d.begin(next, outer)
}

func (d *divider) begin(start netip.Addr, ordinal uint32) {
	if start.Is4() {
		d.four.add(newAddress4(start), ordinal, cmp.Compare[address4])
		return
	}
	d.six.add(newAddress6(start), ordinal, compare6)
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
