package blocks

import (
	"cmp"
	"crypto/sha256"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// setDigest identifies a set of prefixes. It is a cryptographic hash, since a
// collision would give one account the blocks of another.
type setDigest [sha256.Size]byte

// Build returns the view of one account's blocks. It shares the table of one of
// the others if that has the same prefixes. Invalid prefixes are skipped; of two
// entries for the same prefix the last one counts.
func Build(list []model.CallerBlock, others []*View) *View {
	set := newSet(list)
	digest := set.digest()
	v := &View{names: set.names, regions: set.regions}
	for _, other := range others {
		if other.table.digest == digest {
			v.table = other.table
			return v
		}
	}
	v.table = set.buildTable(digest)
	return v
}

// set is a list of blocks sorted by prefix without duplicates.
type set struct {
	prefixes []netip.Prefix
	names    []model.RegionName
	regions  []uint16
}

// entry is a block before sorting.
type entry struct {
	prefix netip.Prefix
	region uint16
}

func newSet(list []model.CallerBlock) *set {
	s := &set{}
	entries := make([]entry, 0, len(list))
	indexes := make(map[model.RegionName]uint16)
	for _, block := range list {
		if !block.Prefix.IsValid() {
			continue
		}
		index, known := indexes[block.Region]
		if !known {
			index = uint16(len(s.names))
			indexes[block.Region] = index
			s.names = append(s.names, block.Region)
		}
		entries = append(entries, entry{block.Prefix.Masked(), index})
	}
	slices.SortStableFunc(entries, compareEntries)
	s.addUnique(entries)
	return s
}

func compareEntries(x, y entry) int {
	if c := x.prefix.Addr().Compare(y.prefix.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(x.prefix.Bits(), y.prefix.Bits())
}

func (s *set) addUnique(entries []entry) {
	s.prefixes = make([]netip.Prefix, 0, len(entries))
	s.regions = make([]uint16, 0, len(entries))
	for i := range entries {
		if i+1 < len(entries) && entries[i+1].prefix == entries[i].prefix {
			continue
		}
		s.prefixes = append(s.prefixes, entries[i].prefix)
		s.regions = append(s.regions, entries[i].region)
	}
}

func (s *set) digest() setDigest {
	hash := sha256.New()
	for _, prefix := range s.prefixes {
		key := keyOf(prefix)
		_, _ = hash.Write(key[:])
	}
	return setDigest(hash.Sum(nil))
}

func (s *set) buildTable(digest setDigest) *Table {
	hashes := make([]uint32, len(s.prefixes))
	b := newRangeBuilder(s.prefixes)
	for i, prefix := range s.prefixes {
		key := keyOf(prefix)
		hashes[i] = uint32(xxhash.Sum64(key[:]))
		b.add(prefix, uint32(i))
	}
	b.finish()
	return &Table{
		ipv4:   b.ipv4,
		octets: newOctetIndex(b.ipv4.starts),
		ipv6:   b.ipv6,
		hashes: hashes,
		digest: digest,
	}
}

// keyBytes is the size of a 16-byte address, its family and the prefix length.
const keyBytes = 18

func keyOf(prefix netip.Prefix) [keyBytes]byte {
	var key [keyBytes]byte
	address := prefix.Addr().As16()
	copy(key[:], address[:])
	if prefix.Addr().Is4() {
		key[16] = 4
	}
	key[17] = byte(prefix.Bits())
	return key
}
