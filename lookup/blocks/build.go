package blocks

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// declaration says that a source gives a prefix to a region.
type declaration struct {
	prefix netip.Prefix
	source uint32
	region uint16
}

// Build returns the table of the given sources' blocks. Invalid prefixes are
// left out; of two entries of one source for the same prefix the later holds.
func Build(sources [][]model.CallerBlock) *Table {
	b := newBuilder(sources)
	for start := 0; start < len(b.declared); {
		end := start + 1
		for end < len(b.declared) && b.declared[end].prefix == b.declared[start].prefix {
			end++
		}
		b.add(b.declared[start:end])
		start = end
	}
	return b.table()
}

// builder walks the prefixes from wide to narrow, so that each prefix is met
// after those that enclose it and can inherit their regions.
type builder struct {
	prefixes  *bart.Table[Block]
	names     [][]model.RegionName
	declared  []declaration
	classes   *classes
	enclosing []enclosure
}

// enclosure is a prefix on the path from the widest to the current one.
type enclosure struct {
	prefix netip.Prefix
	class  uint32
}

func newBuilder(sources [][]model.CallerBlock) *builder {
	b := &builder{
		prefixes: new(bart.Table[Block]),
		names:    make([][]model.RegionName, len(sources)),
		classes:  newClasses(len(sources)),
	}
	total := 0
	for _, list := range sources {
		total += len(list)
	}
	b.declared = make([]declaration, 0, total)
	for i, list := range sources {
		b.declare(uint32(i), list)
	}
	slices.SortStableFunc(b.declared, compareDeclarations)
	return b
}

func (b *builder) declare(source uint32, list []model.CallerBlock) {
	names := []model.RegionName{""}
	indexes := make(map[model.RegionName]uint16)
	for _, block := range list {
		if !block.Prefix.IsValid() {
			continue
		}
		index, known := indexes[block.Region]
		if !known {
			index = uint16(len(names))
			indexes[block.Region] = index
			names = append(names, block.Region)
		}
		b.declared = append(b.declared, declaration{block.Prefix.Masked(), source, index})
	}
	b.names[source] = names
}

// compareDeclarations puts an enclosing prefix before those inside it.
func compareDeclarations(x, y declaration) int {
	if c := x.prefix.Addr().Compare(y.prefix.Addr()); c != 0 {
		return c
	}
	if c := cmp.Compare(x.prefix.Bits(), y.prefix.Bits()); c != 0 {
		return c
	}
	return cmp.Compare(x.source, y.source)
}

// add enters one prefix, given all its declarations.
func (b *builder) add(same []declaration) {
	prefix := same[0].prefix
	for n := len(b.enclosing); n > 0 && !encloses(b.enclosing[n-1].prefix, prefix); n-- {
		b.enclosing = b.enclosing[:n-1]
	}
	parent := noClass
	if n := len(b.enclosing); n > 0 {
		parent = b.enclosing[n-1].class
	}
	class := b.classes.with(parent, same)
	b.enclosing = append(b.enclosing, enclosure{prefix, class})
	b.prefixes.Insert(prefix, Block{Class: class, Hash: hashPrefix(prefix)})
}

func encloses(outer, inner netip.Prefix) bool {
	return outer.Bits() <= inner.Bits() && outer.Contains(inner.Addr())
}

func (b *builder) table() *Table {
	t := &Table{prefixes: b.prefixes, classes: len(b.classes.vectors)}
	t.sources = make([]source, len(b.names))
	for i := range t.sources {
		t.sources[i] = source{names: b.names[i], regions: b.classes.column(i)}
	}
	return t
}

func hashPrefix(prefix netip.Prefix) uint32 {
	var key [17]byte
	address := prefix.Addr().As16()
	copy(key[:], address[:])
	key[16] = byte(prefix.Bits())
	return uint32(xxhash.Sum64(key[:]))
}
